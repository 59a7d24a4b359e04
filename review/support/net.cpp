#include "net.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <csignal>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdexcept>
#include <strings.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace review {

namespace {

constexpr int backlog = 256;
constexpr std::size_t read_bytes = 16'384;

// The sockets API takes a sockaddr pointer.
sockaddr* to_generic(sockaddr_in& address)
{
    return reinterpret_cast<sockaddr*>(&address); // NOLINT(*-reinterpret-cast)
}

void send_without_delay(int descriptor)
{
    const int enabled = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
}

std::string trim(std::string_view text)
{
    const auto first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos) {
        return {};
    }
    return std::string{text.substr(first, text.find_last_not_of(" \t") - first + 1)};
}

} // namespace

std::int64_t elapsed_ms()
{
    static const auto start = std::chrono::steady_clock::now();
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - start)
        .count();
}

std::optional<std::string> http_message::header(std::string_view name) const
{
    for (const auto& [key, value] : this->headers) {
        if (key.size() == name.size() && strncasecmp(key.data(), name.data(), name.size()) == 0) {
            return value;
        }
    }
    return std::nullopt;
}

std::string http_message::header_or(std::string_view name, const std::string& absent) const
{
    return this->header(name).value_or(absent);
}

std::string http_message::method() const
{
    return this->start_line.substr(0, this->start_line.find(' '));
}

std::string http_message::path() const
{
    const auto begin = this->start_line.find(' ') + 1;
    return this->start_line.substr(begin, this->start_line.find(' ', begin) - begin);
}

int http_message::status() const
{
    const auto begin = this->start_line.find(' ') + 1;
    return begin == 0 ? 0 : std::stoi("0" + this->start_line.substr(begin, 3));
}

connection::connection(int descriptor) : descriptor(descriptor)
{
    send_without_delay(descriptor);
}

connection::~connection()
{
    close(this->descriptor);
}

std::unique_ptr<connection> connection::open(const std::string& address)
{
    const auto colon = address.rfind(':');
    sockaddr_in peer{};
    peer.sin_family = AF_INET;
    peer.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &peer.sin_addr);
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (connect(descriptor, to_generic(peer), sizeof(peer)) != 0) {
        close(descriptor);
        return nullptr;
    }
    return std::make_unique<connection>(descriptor);
}

void connection::set_receive_timeout(std::chrono::milliseconds timeout) const
{
    constexpr std::int64_t milliseconds_per_second = 1'000;
    timeval span{};
    span.tv_sec = timeout.count() / milliseconds_per_second;
    span.tv_usec = timeout.count() % milliseconds_per_second * milliseconds_per_second;
    setsockopt(this->descriptor, SOL_SOCKET, SO_RCVTIMEO, &span, sizeof(span));
}

bool connection::send(std::string_view bytes) const
{
    while (!bytes.empty()) {
        const auto sent = ::send(this->descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent <= 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
}

bool connection::fill()
{
    std::array<char, read_bytes> bytes{};
    const auto received = recv(this->descriptor, bytes.data(), bytes.size(), 0);
    if (received <= 0) {
        return false;
    }
    this->buffer.append(bytes.data(), static_cast<std::size_t>(received));
    return true;
}

std::optional<std::string> connection::read_line()
{
    auto end = this->buffer.find("\r\n");
    while (end == std::string::npos) {
        if (!this->fill()) {
            return std::nullopt;
        }
        end = this->buffer.find("\r\n");
    }
    auto line = this->buffer.substr(0, end);
    this->buffer.erase(0, end + 2);
    return line;
}

bool connection::read_exactly(std::size_t count, std::string& target)
{
    while (this->buffer.size() < count) {
        if (!this->fill()) {
            target += std::exchange(this->buffer, {});
            return false;
        }
    }
    target += this->buffer.substr(0, count);
    this->buffer.erase(0, count);
    return true;
}

bool connection::read_head(http_message& message)
{
    const auto first = this->read_line();
    if (!first) {
        return false;
    }
    message.start_line = *first;
    while (true) {
        const auto line = this->read_line();
        if (!line) {
            return false;
        }
        if (line->empty()) {
            return true;
        }
        const auto colon = line->find(':');
        if (colon != std::string::npos) {
            message.headers.emplace_back(trim(line->substr(0, colon)), trim(line->substr(colon + 1)));
        }
    }
}

bool connection::read_chunks(std::string& body)
{
    constexpr int hexadecimal = 16;
    while (true) {
        const auto size_line = this->read_line();
        if (!size_line || size_line->empty()) {
            return false;
        }
        const auto size = std::stoul("0" + *size_line, nullptr, hexadecimal);
        if (!this->read_exactly(size, body) || !this->read_line()) {
            return false;
        }
        if (size == 0) {
            return true;
        }
    }
}

std::optional<http_message> connection::read_request()
{
    http_message request;
    if (!this->read_head(request)) {
        return std::nullopt;
    }
    bool is_whole = true;
    if (request.header("Transfer-Encoding")) {
        is_whole = this->read_chunks(request.body);
    } else if (const auto length = request.header("Content-Length")) {
        is_whole = this->read_exactly(std::stoul("0" + *length), request.body);
    }
    return is_whole ? std::optional{request} : std::nullopt;
}

std::optional<http_message> connection::read_response(bool& is_complete)
{
    is_complete = false;
    http_message response;
    if (!this->read_head(response)) {
        return std::nullopt;
    }
    if (response.header("Transfer-Encoding")) {
        is_complete = this->read_chunks(response.body);
    } else if (const auto length = response.header("Content-Length")) {
        is_complete = this->read_exactly(std::stoul("0" + *length), response.body);
    } else {
        while (this->fill()) {
        }
        response.body = std::exchange(this->buffer, {});
        is_complete = true;
    }
    return response;
}

bool connection::wait_for_input(std::chrono::milliseconds timeout) const
{
    pollfd state{this->descriptor, POLLIN, 0};
    return !this->buffer.empty() || poll(&state, 1, static_cast<int>(timeout.count())) > 0;
}

void connection::shut_down() const
{
    shutdown(this->descriptor, SHUT_RDWR);
}

listener::listener(handler serve) : serve(std::move(serve))
{
    std::signal(SIGPIPE, SIG_IGN); // NOLINT(*-err33-c)
    this->descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in any_port{};
    any_port.sin_family = AF_INET;
    any_port.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof(any_port);
    if (bind(this->descriptor, to_generic(any_port), length) != 0 ||
        ::listen(this->descriptor, backlog) != 0 ||
        getsockname(this->descriptor, to_generic(any_port), &length) != 0) {
        throw std::runtime_error("cannot listen on a loopback port");
    }
    this->bound_address = "127.0.0.1:" + std::to_string(ntohs(any_port.sin_port));
    std::thread([this] { this->accept_all(); }).detach();
}

listener::~listener()
{
    this->stop();
}

std::string listener::address() const
{
    return this->bound_address;
}

void listener::accept_all()
{
    while (!this->is_stopped) {
        const int accepted = accept(this->descriptor, nullptr, nullptr);
        if (accepted < 0) {
            return;
        }
        auto peer = std::make_shared<connection>(accepted);
        const std::lock_guard lock(this->mutex);
        std::erase_if(this->open_connections, [](const auto& known) { return known.expired(); });
        this->open_connections.push_back(peer);
        std::thread([this, peer] { this->serve(*peer); }).detach();
    }
}

void listener::stop()
{
    if (this->is_stopped.exchange(true)) {
        return;
    }
    shutdown(this->descriptor, SHUT_RDWR);
    close(this->descriptor);
    const std::lock_guard lock(this->mutex);
    for (const auto& known : this->open_connections) {
        if (const auto peer = known.lock()) {
            peer->shut_down();
        }
    }
}

std::string make_response(int status, const std::string& headers, const std::string& body)
{
    return "HTTP/1.1 " + std::to_string(status) + " Status\r\n" + headers +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace review
