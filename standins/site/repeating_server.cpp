#include "standins/site/repeating_server.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <nlohmann/json.hpp>
#include <sstream>

namespace tanager::standin {

namespace {

constexpr int status_ok = 200;
constexpr int status_misdirected = 421;
constexpr int status_failure = 500;
constexpr int percent_range = 100;
constexpr int backlog = 512;
constexpr std::size_t events_in_stream = 3;
constexpr std::chrono::milliseconds event_interval{2};

std::string make_response(int status, const http_headers& headers, const std::string& body)
{
    std::ostringstream text;
    text << "HTTP/1.1 " << status << " R\r\n";
    for (const auto& row : headers) {
        text << row.name << ": " << row.value << "\r\n";
    }
    text << "Content-Length: " << body.size() << "\r\n\r\n" << body;
    return text.str();
}

std::string make_chunk(const std::string& data)
{
    std::ostringstream text;
    text << std::hex << data.size() << "\r\n" << data << "\r\n";
    return text.str();
}

// Removes one request from the buffer; returns nothing if it is not complete. Bodies have a length.
std::optional<http_request> take_request(evbuffer* input)
{
    const std::string_view head_end = "\r\n\r\n";
    const auto found = evbuffer_search(input, head_end.data(), head_end.size(), nullptr);
    if (found.pos < 0) {
        return std::nullopt;
    }
    const auto head_length = static_cast<std::size_t>(found.pos) + head_end.size();
    std::string head(head_length, '\0');
    evbuffer_copyout(input, head.data(), head_length);
    std::istringstream lines(head);
    http_request request;
    std::string version;
    lines >> request.method >> request.path >> version;
    std::string line;
    std::getline(lines, line);
    while (std::getline(lines, line) && line.find(':') != std::string::npos) {
        const auto colon = line.find(':');
        const auto value_begin = line.find_first_not_of(' ', colon + 1);
        const auto value_end = line.find_last_not_of("\r ");
        request.headers.push_back(
            {line.substr(0, colon), line.substr(value_begin, value_end - value_begin + 1)});
    }
    const auto length_text = find_header(request.headers, "Content-Length");
    const std::size_t length = length_text.empty() ? 0 : std::stoul(length_text);
    if (evbuffer_get_length(input) < head_length + length) {
        return std::nullopt;
    }
    evbuffer_drain(input, head_length);
    request.body.resize(length);
    evbuffer_remove(input, request.body.data(), length);
    return request;
}

} // namespace

struct repeating_server::connection {
    bufferevent* buffer = nullptr; // null once it is closed
    std::string pending_copy;      // sent before the next response
    bool has_sent_copy = false;    // since the last request
    std::vector<std::unique_ptr<loop_timer>> timers;

    void write(const std::string& bytes) const
    {
        if (this->buffer != nullptr) {
            bufferevent_write(this->buffer, bytes.data(), bytes.size());
        }
    }
};

std::unique_ptr<repeating_server> repeating_server::create(event_loop& loop, const repeat_options& options)
{
    auto server =
        std::unique_ptr<repeating_server>(new repeating_server(loop, options)); // NOLINT(*-owning-memory)
    return server->listen() ? std::move(server) : nullptr;
}

repeating_server::repeating_server(event_loop& loop, const repeat_options& options)
    : loop(loop), options(options), random(options.seed)
{
}

repeating_server::~repeating_server()
{
    for (const auto& peer : this->connections) {
        bufferevent_free(peer->buffer);
    }
    evconnlistener_free(this->listener);
}

bool repeating_server::listen()
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    this->listener = evconnlistener_new_bind(
        this->loop.native_handle(),
        [](evconnlistener* /*listener*/, int descriptor, sockaddr* /*peer*/, int /*length*/, void* self) {
            static_cast<repeating_server*>(self)->accept(descriptor);
        },
        this,
        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
        backlog,
        reinterpret_cast<const sockaddr*>(&address), // NOLINT(*-reinterpret-cast)
        sizeof(address));
    return this->listener != nullptr;
}

std::string repeating_server::address() const
{
    sockaddr_in bound{};
    socklen_t length = sizeof(bound);
    getsockname(evconnlistener_get_fd(this->listener),
                reinterpret_cast<sockaddr*>(&bound), // NOLINT(*-reinterpret-cast)
                &length);
    return "127.0.0.1:" + std::to_string(ntohs(bound.sin_port));
}

void repeating_server::accept(int descriptor)
{
    struct callback_argument {
        repeating_server* server;
        std::weak_ptr<connection> peer;
    };
    const auto peer = std::make_shared<connection>();
    peer->buffer = bufferevent_socket_new(this->loop.native_handle(), descriptor, BEV_OPT_CLOSE_ON_FREE);
    this->connections.push_back(peer);
    // Lives as long as the process; the stand-in accepts a bounded number of connections.
    auto* const argument = new callback_argument{this, peer}; // NOLINT(*-owning-memory)
    bufferevent_setcb(
        peer->buffer,
        [](bufferevent* /*buffer*/, void* context) {
            const auto* const self = static_cast<callback_argument*>(context);
            if (const auto alive = self->peer.lock()) {
                self->server->read_requests(alive);
            }
        },
        nullptr,
        [](bufferevent* /*buffer*/, short /*what*/, void* context) { // NOLINT(*-runtime-int)
            const auto* const self = static_cast<callback_argument*>(context);
            if (const auto alive = self->peer.lock()) {
                self->server->close(alive.get());
            }
        },
        argument);
    bufferevent_enable(peer->buffer, EV_READ | EV_WRITE);
}

void repeating_server::close(const connection* closed)
{
    const auto found =
        std::ranges::find_if(this->connections, [&](const auto& peer) { return peer.get() == closed; });
    const auto peer = *found;
    this->connections.erase(found);
    bufferevent_free(std::exchange(peer->buffer, nullptr));
}

void repeating_server::read_requests(const std::shared_ptr<connection>& peer)
{
    while (peer->buffer != nullptr) {
        const auto request = take_request(bufferevent_get_input(peer->buffer));
        if (!request) {
            return;
        }
        this->serve(peer, *request);
    }
}

bool repeating_server::draw(int percent)
{
    return static_cast<int>(this->random() % percent_range) < percent;
}

void repeating_server::repeat(const std::shared_ptr<connection>& peer, const std::string& response)
{
    if (!this->draw(this->options.repeated_percent)) {
        return;
    }
    const auto kept = this->options.copied_bytes.value_or(this->options.truncates_copies ? response.size() / 2
                                                                                         : response.size());
    const auto copy = response.substr(0, kept);
    if (!this->options.repeat_delay) {
        peer->pending_copy = copy;
        return;
    }
    peer->timers.push_back(this->loop.run_after(*this->options.repeat_delay, [peer, copy] {
        peer->has_sent_copy = true;
        peer->write(copy);
    }));
}

void repeating_server::serve(const std::shared_ptr<connection>& peer, const http_request& request)
{
    if (request.path == "/runs") {
        peer->write(make_response(status_ok, {}, this->report()));
        return;
    }
    // Gateways of another site may still send to an address that this server has been given.
    if (find_header(request.headers, "Expect-Instance") != this->options.id) {
        peer->write(make_response(status_misdirected, {{"Instance-Id", this->options.id}}, {}));
        return;
    }
    const auto request_id = find_header(request.headers, "Attempt-Id");
    ++this->arrivals[request_id];
    this->met_copies[request_id] += peer->has_sent_copy || !peer->pending_copy.empty() ? 1 : 0;
    peer->has_sent_copy = false;
    peer->write(std::exchange(peer->pending_copy, {}));
    if (this->draw(this->options.refused_percent)) {
        http_headers headers{{"Not-Executed", "1"}};
        if (this->options.refusals_name_request) {
            headers.push_back({"Attempt-Id", request_id});
        }
        const auto refusal = make_response(this->options.refusal_status, headers, {});
        peer->write(refusal);
        this->repeat(peer, refusal);
        return;
    }
    ++this->runs[request_id];
    const bool is_stream = request.path.starts_with("/stream/");
    peer->timers.push_back(this->loop.run_after(this->options.work_time, [this, peer, request_id, is_stream] {
        if (is_stream) {
            this->send_stream(peer, request_id);
        } else {
            this->respond(peer, request_id);
        }
    }));
}

void repeating_server::respond(const std::shared_ptr<connection>& peer, const std::string& request_id)
{
    const http_headers headers{{"Attempt-Id", request_id}, {"Response-Seal", "seal-of-" + request_id}};
    if (!this->draw(this->options.failed_percent)) {
        peer->write(make_response(status_ok, headers, "answer to " + request_id));
        return;
    }
    const auto failure = make_response(status_failure, headers, "failure of " + request_id);
    peer->write(failure);
    this->repeat(peer, failure);
}

void repeating_server::send_stream(const std::shared_ptr<connection>& peer, const std::string& request_id)
{
    peer->write("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
                "Attempt-Id: " +
                request_id + "\r\nResponse-Seal: seal\r\n\r\n");
    for (std::size_t number = 1; number <= events_in_stream; ++number) {
        const auto event = "id: " + std::to_string(number) + "\ndata: " + request_id + "\n\n";
        const bool is_last = number == events_in_stream;
        peer->timers.push_back(
            this->loop.run_after(event_interval * number, [peer, chunk = make_chunk(event), is_last] {
                peer->write(chunk + (is_last ? "0\r\n\r\n" : ""));
            }));
    }
}

std::string repeating_server::report() const
{
    return nlohmann::json{{"runs", this->runs},
                          {"arrivals", this->arrivals},
                          {"met_copies", this->met_copies},
                          {"connections", this->connections.size()}}
        .dump();
}

} // namespace tanager::standin
