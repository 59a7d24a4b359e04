// What the cases of the second review share: HTTP on blocking sockets, stand-ins of the platform's store, of
// backend servers and of the platform's API, and the gateways as processes of their own.
#pragma once

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdlib>
#include <deque>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <optional>
#include <poll.h>
#include <random>
#include <set>
#include <sstream>
#include <stdexcept>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace review {

using nlohmann::json;
using steady = std::chrono::steady_clock;
using ms = std::chrono::milliseconds;

inline void sleep_for(ms span)
{
    std::this_thread::sleep_for(span);
}

// Writes record.txt: what was sent, answered and run, with the milliseconds since the start.
class recorder {
public:
    explicit recorder(const std::string& path) : file(path), started_at(steady::now()) {}

    long long elapsed() const
    {
        return std::chrono::duration_cast<ms>(steady::now() - this->started_at).count();
    }

    void write(const std::string& line)
    {
        const std::lock_guard lock(this->mutex);
        this->file << this->elapsed() << " " << line << "\n" << std::flush;
    }

private:
    std::mutex mutex;
    std::ofstream file;
    steady::time_point started_at;
};

struct message {
    std::string method;
    std::string target;
    int status = 0;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    std::string header(const std::string& name) const
    {
        for (const auto& [key, value] : this->headers) {
            if (strcasecmp(key.c_str(), name.c_str()) == 0) {
                return value;
            }
        }
        return {};
    }
};

// What a stand-in does with a request.
struct answer {
    int status = 200;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    enum class ending { keep, close, reset } after = ending::keep;
    bool is_sent = true; // otherwise the connection ends without an answer
};

inline sockaddr_in to_native(const std::string& address)
{
    const auto colon = address.find(':');
    sockaddr_in native{};
    native.sin_family = AF_INET;
    native.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &native.sin_addr);
    return native;
}

// Returns a loopback address whose port is free for TCP and UDP, and is not one that the kernel gives to
// outgoing connections.
inline std::string free_address()
{
    static std::mt19937 random{std::random_device{}()};
    while (true) {
        const auto address =
            "127.0.0.1:" + std::to_string(std::uniform_int_distribution(20'000, 31'000)(random));
        const int tcp = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int udp = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
        const sockaddr_in native = to_native(address);
        const auto* const bound = reinterpret_cast<const sockaddr*>(&native);
        const bool is_free = bind(tcp, bound, sizeof(native)) == 0 && bind(udp, bound, sizeof(native)) == 0;
        close(tcp);
        close(udp);
        if (is_free) {
            return address;
        }
    }
}

// A connection with a buffer of what has been received.
class connection {
public:
    explicit connection(int descriptor) : descriptor(descriptor) {}
    ~connection()
    {
        close(this->descriptor);
    }
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    int native() const
    {
        return this->descriptor;
    }

    bool send_all(const std::string& text) const
    {
        std::size_t sent = 0;
        while (sent < text.size()) {
            const auto count = send(this->descriptor, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
            if (count <= 0) {
                return false;
            }
            sent += static_cast<std::size_t>(count);
        }
        return true;
    }

    // Returns false at the end of the connection or at the deadline.
    bool receive(steady::time_point deadline)
    {
        const auto left = std::chrono::duration_cast<ms>(deadline - steady::now()).count();
        pollfd waited{this->descriptor, POLLIN, 0};
        if (left <= 0 || poll(&waited, 1, static_cast<int>(left)) <= 0) {
            this->timed_out = true;
            return false;
        }
        char bytes[65536];
        const auto count = recv(this->descriptor, bytes, sizeof(bytes), 0);
        if (count <= 0) {
            return false;
        }
        this->buffer.append(bytes, static_cast<std::size_t>(count));
        return true;
    }

    // Reads one message with a length or in chunks.
    std::optional<message> read(steady::time_point deadline)
    {
        auto head_end = this->buffer.find("\r\n\r\n");
        while (head_end == std::string::npos) {
            if (!this->receive(deadline)) {
                return std::nullopt;
            }
            head_end = this->buffer.find("\r\n\r\n");
        }
        message read;
        std::istringstream head(this->buffer.substr(0, head_end));
        std::string line;
        std::getline(head, line);
        std::istringstream first(line);
        std::string word;
        first >> word >> read.target;
        if (word.starts_with("HTTP/")) {
            read.status = std::stoi(read.target);
        }
        read.method = word;
        while (std::getline(head, line)) {
            if (!line.empty() && line.back() == '\r') {
                line.pop_back();
            }
            const auto colon = line.find(':');
            if (colon != std::string::npos) {
                auto value = line.substr(colon + 1);
                value.erase(0, std::min(value.find_first_not_of(' '), value.size()));
                read.headers.emplace_back(line.substr(0, colon), value);
            }
        }
        this->buffer.erase(0, head_end + 4);
        if (strcasecmp(read.header("Transfer-Encoding").c_str(), "chunked") == 0) {
            return this->read_chunks(read, deadline) ? std::optional{read} : std::nullopt;
        }
        const auto length = read.header("Content-Length");
        const std::size_t expected = length.empty() ? 0 : std::stoull(length);
        while (this->buffer.size() < expected) {
            if (!this->receive(deadline)) {
                return std::nullopt;
            }
        }
        read.body = this->buffer.substr(0, expected);
        this->buffer.erase(0, expected);
        return read;
    }

    bool has_timed_out() const
    {
        return this->timed_out;
    }

private:
    bool read_chunks(message& read, steady::time_point deadline)
    {
        while (true) {
            auto line_end = this->buffer.find("\r\n");
            while (line_end == std::string::npos) {
                if (!this->receive(deadline)) {
                    return false;
                }
                line_end = this->buffer.find("\r\n");
            }
            const auto size = std::stoull(this->buffer.substr(0, line_end), nullptr, 16);
            while (this->buffer.size() < line_end + 2 + size + 2) {
                if (!this->receive(deadline)) {
                    return false;
                }
            }
            read.body += this->buffer.substr(line_end + 2, size);
            this->buffer.erase(0, line_end + 2 + size + 2);
            if (size == 0) {
                return true;
            }
        }
    }

    int descriptor;
    std::string buffer;
    bool timed_out = false;
};

inline std::string encode(const answer& sent)
{
    std::string text = "HTTP/1.1 " + std::to_string(sent.status) + " -\r\n";
    for (const auto& [name, value] : sent.headers) {
        text += name + ": " + value + "\r\n";
    }
    if (sent.after == answer::ending::close) {
        text += "Connection: close\r\n";
    }
    return text + "Content-Length: " + std::to_string(sent.body.size()) + "\r\n\r\n" + sent.body;
}

// An HTTP server with a thread for each connection.
class http_server {
public:
    using handler = std::function<answer(const message&)>;

    explicit http_server(handler serve, const std::string& requested = "127.0.0.1:0")
        : serve(std::move(serve)), listener(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        const int on = 1;
        setsockopt(this->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        sockaddr_in native = to_native(requested);
        socklen_t length = sizeof(native);
        if (bind(this->listener, reinterpret_cast<sockaddr*>(&native), length) != 0 ||
            listen(this->listener, 256) != 0) {
            throw std::runtime_error("cannot listen on " + requested);
        }
        getsockname(this->listener, reinterpret_cast<sockaddr*>(&native), &length);
        this->bound = "127.0.0.1:" + std::to_string(ntohs(native.sin_port));
        this->acceptor = std::thread([this] { this->accept_all(); });
    }

    ~http_server()
    {
        this->stop();
    }

    std::string address() const
    {
        return this->bound;
    }

    // Ends like a process that exits: the port closes, and so do all connections.
    void stop()
    {
        if (this->is_stopped.exchange(true)) {
            return;
        }
        shutdown(this->listener, SHUT_RDWR);
        this->acceptor.join();
        close(this->listener);
        {
            const std::lock_guard lock(this->mutex);
            for (const int descriptor : this->open) {
                shutdown(descriptor, SHUT_RDWR);
            }
        }
        for (auto& thread : this->threads) {
            thread.join();
        }
    }

private:
    void accept_all()
    {
        while (true) {
            const int descriptor = accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (descriptor < 0) {
                return;
            }
            const int on = 1;
            setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
            const std::lock_guard lock(this->mutex);
            this->open.insert(descriptor);
            this->threads.emplace_back([this, descriptor] { this->serve_connection(descriptor); });
        }
    }

    void serve_connection(int descriptor)
    {
        connection peer(descriptor);
        while (!this->is_stopped) {
            const auto request = peer.read(steady::now() + std::chrono::minutes(2));
            if (!request) {
                break;
            }
            const auto reply = this->serve(*request);
            if (reply.after == answer::ending::reset) {
                const linger now{1, 0};
                setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
            }
            if (this->is_stopped || !reply.is_sent || !peer.send_all(encode(reply)) ||
                reply.after != answer::ending::keep) {
                break;
            }
        }
        const std::lock_guard lock(this->mutex);
        this->open.erase(descriptor);
    }

    handler serve;
    int listener;
    std::string bound;
    std::atomic<bool> is_stopped = false;
    std::mutex mutex;
    std::set<int> open;
    std::vector<std::thread> threads;
    std::thread acceptor;
};

// The outcome of a request: status 0 if the connection ended or stayed silent.
struct reply {
    int status = 0;
    message received;
};

inline reply call(const std::string& address, const message& request, ms timeout)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    connection peer(descriptor);
    const sockaddr_in native = to_native(address);
    if (connect(descriptor, reinterpret_cast<const sockaddr*>(&native), sizeof(native)) != 0) {
        return {};
    }
    std::string text = request.method + " " + request.target + " HTTP/1.1\r\n";
    for (const auto& [name, value] : request.headers) {
        text += name + ": " + value + "\r\n";
    }
    text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n\r\n" + request.body;
    if (!peer.send_all(text)) {
        return {};
    }
    const auto answered = peer.read(steady::now() + timeout);
    return answered ? reply{answered->status, *answered} : reply{};
}

// The platform's store, as PROTOCOL.md and NEWS.md describe it.
class object_store {
public:
    explicit object_store(recorder& record) : record(record)
    {
        this->server =
            std::make_unique<http_server>([this](const message& request) { return this->serve(request); });
    }

    ~object_store()
    {
        {
            const std::lock_guard lock(this->mutex);
            this->is_ended = true;
            this->changed.notify_all();
        }
        this->server->stop();
    }

    std::string address() const
    {
        return this->server->address();
    }

    // A write of the operator or of a backend server; returns the revision.
    std::uint64_t write(const std::string& kind, const std::string& name, const json& spec)
    {
        const std::lock_guard lock(this->mutex);
        this->put(kind, name, spec);
        return this->revision;
    }

    std::uint64_t remove(const std::string& kind, const std::string& name)
    {
        const std::lock_guard lock(this->mutex);
        this->erase(kind, name);
        return this->revision;
    }

    json read(const std::string& kind, const std::string& name)
    {
        const std::lock_guard lock(this->mutex);
        const auto found = this->objects.find({kind, name});
        return found == this->objects.end() ? json() : found->second.spec;
    }

    // Returns the highest revision from which a gateway has watched a kind, in this era: it knows everything
    // up to that.
    std::uint64_t watched_from(const std::string& kind)
    {
        const std::lock_guard lock(this->mutex);
        return this->watched[kind];
    }

    // While the store is down, it answers 503: nothing was done.
    void set_down(bool new_down)
    {
        const std::lock_guard lock(this->mutex);
        this->is_down = new_down;
        ++this->cuts;
        this->changed.notify_all();
    }

    // Comes back, in a new era, as it was `age` ago.
    void restore(ms age)
    {
        const std::lock_guard lock(this->mutex);
        const auto copied_at = steady::now() - age;
        this->objects.clear();
        this->events.clear();
        this->watched.clear();
        this->revision = 1;
        std::deque<logged_write> kept;
        std::swap(kept, this->log);
        for (const auto& write : kept) {
            if (write.at > copied_at) {
                break;
            }
            write.spec ? this->put(write.kind, write.name, *write.spec, write.at)
                       : this->erase(write.kind, write.name, write.at);
        }
        ++this->era;
        ++this->cuts;
        this->changed.notify_all();
    }

private:
    struct object {
        std::uint64_t revision = 0;
        json spec;
        json status;
        json finalizers = json::array();
    };

    struct event {
        std::string kind;
        json text;
        std::uint64_t revision;
    };

    struct logged_write {
        steady::time_point at;
        std::string kind;
        std::string name;
        std::optional<json> spec;
    };

    static json describe(const std::string& name, const object& held)
    {
        return {{"metadata",
                 {{"name", name},
                  {"revision", held.revision},
                  {"created", held.revision},
                  {"finalizers", held.finalizers},
                  {"deleting", false}}},
                {"spec", held.spec},
                {"status", held.status}};
    }

    void put(const std::string& kind,
             const std::string& name,
             const json& spec,
             steady::time_point at = steady::now())
    {
        auto& held = this->objects[{kind, name}];
        if (held.revision > 0 && held.spec == spec) {
            return;
        }
        held.revision = ++this->revision;
        held.spec = spec;
        this->log.push_back({at, kind, name, spec});
        this->events.push_back(
            {kind, {{"object", describe(name, held)}, {"deleted", false}}, this->revision});
        this->changed.notify_all();
    }

    void erase(const std::string& kind, const std::string& name, steady::time_point at = steady::now())
    {
        const auto found = this->objects.find({kind, name});
        if (found == this->objects.end()) {
            return;
        }
        auto held = found->second;
        held.revision = ++this->revision;
        this->objects.erase(found);
        this->log.push_back({at, kind, name, std::nullopt});
        this->events.push_back({kind, {{"object", describe(name, held)}, {"deleted", true}}, this->revision});
        this->changed.notify_all();
    }

    answer make_answer(int status, const json& body) const
    {
        return {status,
                {{"Content-Type", "application/json"}, {"Store-Era", std::to_string(this->era)}},
                body.dump()};
    }

    static std::map<std::string, std::string> read_query(const std::string& target)
    {
        std::map<std::string, std::string> query;
        const auto mark = target.find('?');
        std::istringstream text(mark == std::string::npos ? "" : target.substr(mark + 1));
        std::string part;
        while (std::getline(text, part, '&')) {
            const auto equals = std::min(part.find('='), part.size());
            query[part.substr(0, equals)] = part.substr(std::min(equals + 1, part.size()));
        }
        return query;
    }

    answer serve(const message& request)
    {
        std::unique_lock lock(this->mutex);
        if (this->is_down) {
            return this->make_answer(503, json::object());
        }
        const auto query = read_query(request.target);
        std::istringstream path(request.target.substr(0, request.target.find('?')));
        std::vector<std::string> parts;
        std::string part;
        while (std::getline(path, part, '/')) {
            parts.push_back(part);
        }
        if (parts.size() < 3 || parts[1] != "objects") {
            return this->make_answer(404, json::object());
        }
        const auto& kind = parts[2];
        const auto name = parts.size() > 3 ? parts[3] : std::string{};
        if (request.method == "GET" && !name.empty()) {
            const auto found = this->objects.find({kind, name});
            return found == this->objects.end() ? this->make_answer(404, json::object())
                                                : this->make_answer(200, describe(name, found->second));
        }
        if (request.method == "GET" && query.contains("watch")) {
            return this->serve_watch(kind, query, lock);
        }
        if (request.method == "GET") {
            return this->list(kind);
        }
        return this->serve_write(request, kind, name, query);
    }

    answer list(const std::string& kind) const
    {
        json items = json::array();
        for (const auto& [key, held] : this->objects) {
            if (key.first == kind) {
                items.push_back(describe(key.second, held));
            }
        }
        return this->make_answer(200,
                                 {{"items", items}, {"hasMore", false}, {"storeRevision", this->revision}});
    }

    answer serve_watch(const std::string& kind,
                       std::map<std::string, std::string> query,
                       std::unique_lock<std::mutex>& lock)
    {
        const auto since = std::stoull(query["watch"]);
        this->watched[kind] = std::max<std::uint64_t>(this->watched[kind], since);
        if (since > this->revision) {
            return this->make_answer(410, json::object());
        }
        const auto until = steady::now() + ms(std::stoll(query["waitMs"]));
        const auto cut_count = this->cuts;
        json found = json::array();
        while (true) {
            for (const auto& each : this->events) {
                if (each.kind == kind && each.revision > since) {
                    found.push_back(each.text);
                }
            }
            if (!found.empty() || steady::now() >= until || this->is_ended) {
                return this->make_answer(200, {{"events", found}, {"storeRevision", this->revision}});
            }
            this->changed.wait_until(lock, until);
            if (this->cuts != cut_count) {
                answer cut;
                cut.is_sent = false;
                return cut;
            }
        }
    }

    answer serve_write(const message& request,
                       const std::string& kind,
                       const std::string& path_name,
                       std::map<std::string, std::string> query)
    {
        const auto parsed = json::parse(request.body, nullptr, false);
        const auto body = parsed.is_object() ? parsed : json::object();
        const auto metadata = body.value("metadata", json::object());
        const bool is_creation = request.method == "POST";
        const auto name = is_creation ? metadata.value("name", std::string{}) : path_name;
        const auto found = this->objects.find({kind, name});
        const bool exists = found != this->objects.end();
        std::optional<std::uint64_t> expected;
        if (metadata.contains("revision")) {
            expected = metadata["revision"].get<std::uint64_t>();
        } else if (query.contains("revision")) {
            expected = std::stoull(query["revision"]);
        }
        int status = 200;
        if (is_creation && exists) {
            status = 409;
        } else if (!is_creation && !exists) {
            status = 404;
        } else if (!is_creation && expected && *expected != found->second.revision) {
            status = 409;
        }
        if (status == 200 && request.method == "DELETE") {
            this->erase(kind, name);
        } else if (status == 200) {
            this->put(kind, name, body.value("spec", json()));
        }
        const auto now = this->objects.find({kind, name});
        const auto text = now == this->objects.end()
                              ? json{{"metadata", {{"name", name}, {"revision", this->revision}}}}
                              : describe(name, now->second);
        this->record.write("store: " + request.method + " " + kind + "/" + name + " " +
                           body.value("spec", json()).dump().substr(0, 300) + " -> " +
                           std::to_string(status) + " revision " + text["metadata"]["revision"].dump() +
                           " era " + std::to_string(this->era));
        return this->make_answer(status, status == 404 ? json::object() : text);
    }

    recorder& record;
    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::pair<std::string, std::string>, object> objects;
    std::vector<event> events;
    std::map<std::string, std::uint64_t> watched;
    std::deque<logged_write> log;
    std::uint64_t revision = 1;
    std::uint64_t era = 1;
    std::uint64_t cuts = 0;
    bool is_down = false;
    bool is_ended = false;
    std::unique_ptr<http_server> server;
};

// A backend server of a plain service. It runs a request for `work`, and answers with its seal.
class backend_server {
public:
    backend_server(recorder& record, std::string id, std::string service, ms work = ms(5))
        : record(record),
          id(std::move(id)),
          service(std::move(service)),
          work(work),
          born(std::chrono::duration_cast<ms>(std::chrono::system_clock::now().time_since_epoch()).count())
    {
        this->server =
            std::make_unique<http_server>([this](const message& request) { return this->serve(request); });
    }

    std::string address() const
    {
        return this->server->address();
    }

    json entry(const std::string& state = "ready") const
    {
        return {{"service", this->service},
                {"address", this->address()},
                {"zone", "zone-a"},
                {"version", "1"},
                {"slots", 6},
                {"state", state},
                {"coldRemainingMs", 0},
                {"sequence", 1},
                {"born", this->born}};
    }

    // From now on, all answers say that the server leaves.
    void set_leaving()
    {
        this->is_leaving = true;
    }

    // Exits: what it runs is cut.
    void stop()
    {
        this->server->stop();
    }

    // When each run began, in milliseconds since the start, with its request's id and headers.
    std::vector<std::pair<long long, message>> runs()
    {
        const std::lock_guard lock(this->mutex);
        return this->began;
    }

private:
    answer serve(const message& request)
    {
        const auto expected = request.header("Expect-Instance");
        const auto attempt = request.header("Attempt-Id");
        std::vector<std::pair<std::string, std::string>> headers{{"Attempt-Id", attempt}};
        if (this->is_leaving) {
            headers.emplace_back("Server-Leaving", "1");
        }
        if (!expected.empty() && expected != this->id) {
            headers.emplace_back("Not-Executed", "1");
            return {421, headers, ""};
        }
        if (attempt.empty()) {
            return {400, {{"Not-Executed", "1"}}, ""};
        }
        {
            const std::lock_guard lock(this->mutex);
            this->began.emplace_back(this->record.elapsed(), request);
        }
        this->record.write("run: " + this->id + " runs " + attempt + " " + request.method + " " +
                           request.target + (this->is_leaving ? " (leaving)" : "") +
                           (request.header("Tenant").empty() ? "" : " tenant " + request.header("Tenant")));
        sleep_for(this->work);
        headers.emplace_back("Response-Seal", "seal." + this->id + "." + attempt);
        return {200, headers, "answer to " + attempt};
    }

    recorder& record;
    std::string id;
    std::string service;
    ms work;
    long long born;
    std::atomic<bool> is_leaving = false;
    std::mutex mutex;
    std::vector<std::pair<long long, message>> began;
    std::unique_ptr<http_server> server;
};

// Fills in a template like the platform: `{{a.b}}` and sections `{{#a}} .. {{/a}}`.
inline std::string fill_template(std::string text, const json& fields)
{
    const auto find = [&fields](const std::string& path) -> json {
        json at = fields;
        std::istringstream names(path);
        std::string name;
        while (std::getline(names, name, '.')) {
            const bool is_index = at.is_array() && name.find_first_not_of("0123456789") == std::string::npos;
            if (is_index && std::stoul(name) < at.size()) {
                at = json(at[std::stoul(name)]);
            } else if (at.is_object() && at.contains(name)) {
                at = json(at[name]);
            } else {
                return json();
            }
        }
        return at;
    };
    const auto to_text = [](const json& value) {
        if (value.is_array()) {
            std::string joined;
            for (const auto& each : value) {
                joined +=
                    (joined.empty() ? "" : ",") + (each.is_string() ? each.get<std::string>() : each.dump());
            }
            return joined;
        }
        return value.is_null() ? std::string{} : value.is_string() ? value.get<std::string>() : value.dump();
    };
    for (auto begin = text.find("{{#"); begin != std::string::npos; begin = text.find("{{#")) {
        const auto name_end = text.find("}}", begin);
        const auto name = text.substr(begin + 3, name_end - begin - 3);
        const auto closing = "{{/" + name + "}}";
        const auto end = text.find(closing, begin);
        const auto value = find(name);
        const bool is_rendered = !value.is_null() && value != json(false);
        const auto inner = is_rendered ? text.substr(name_end + 2, end - name_end - 2) : std::string{};
        text.replace(begin, end + closing.size() - begin, inner);
    }
    for (auto begin = text.find("{{"); begin != std::string::npos; begin = text.find("{{", begin)) {
        const auto end = text.find("}}", begin);
        const auto value = to_text(find(text.substr(begin + 2, end - begin - 2)));
        text.replace(begin, end + 2 - begin, value);
    }
    return text;
}

// A gateway as a process of its own, started with the command and the template of the deploy file.
class gateway {
public:
    gateway(recorder& record, std::string name, const json& fields, const std::filesystem::path& folder)
        : record(record), name(std::move(name)), folder(folder)
    {
        this->front = free_address();
        this->ready = free_address();
        const auto inner = free_address();
        json settings = fields;
        settings["nodeName"] = this->name;
        settings["ip"] = "127.0.0.1";
        settings["listen"] = {{"front", this->front}, {"ready", this->ready}};
        settings["internalPorts"] = {std::stoi(inner.substr(inner.find(':') + 1)),
                                     std::stoi(inner.substr(inner.find(':') + 1))};
        std::ifstream file("deploy/gateway.ini");
        const std::string text{std::istreambuf_iterator<char>(file), {}};
        this->config = (this->folder / (this->name + ".ini")).string();
        std::ofstream(this->config) << fill_template(text, settings);
    }

    ~gateway()
    {
        this->kill();
    }

    void start()
    {
        this->record.write("gateway " + this->name + ": started");
        const auto log = (this->folder / (this->name + ".log")).string();
        this->process = fork();
        if (this->process == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int output = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            dup2(output, STDOUT_FILENO);
            dup2(output, STDERR_FILENO);
            execl("target/bin/tanager-gateway",
                  "target/bin/tanager-gateway",
                  "--config",
                  this->config.c_str(),
                  nullptr);
            _exit(127);
        }
    }

    void signal(int number)
    {
        if (this->process > 0) {
            this->record.write("gateway " + this->name + ": signal " + std::to_string(number));
            ::kill(this->process, number);
        }
    }

    void kill()
    {
        if (this->process > 0) {
            this->signal(SIGKILL);
            waitpid(this->process, nullptr, 0);
            this->process = -1;
        }
    }

    // Stops it like the platform: SIGTERM, and SIGKILL after the grace.
    void stop(ms grace)
    {
        this->signal(SIGTERM);
        const auto until = steady::now() + grace;
        while (this->process > 0 && steady::now() < until) {
            if (waitpid(this->process, nullptr, WNOHANG) == this->process) {
                this->record.write("gateway " + this->name + ": ended");
                this->process = -1;
                return;
            }
            sleep_for(ms(10));
        }
        this->kill();
    }

    bool is_ready() const
    {
        message question{"GET", "/ready", 0, {{"Host", "ready"}}, {}};
        return call(this->ready, question, ms(500)).status == 200;
    }

    bool wait_until_ready(ms limit) const
    {
        const auto until = steady::now() + limit;
        while (steady::now() < until) {
            if (this->is_ready()) {
                return true;
            }
            sleep_for(ms(20));
        }
        return false;
    }

    std::string address() const
    {
        return this->front;
    }

    std::string log_text() const
    {
        std::ifstream file(this->folder / (this->name + ".log"));
        return {std::istreambuf_iterator<char>(file), {}};
    }

private:
    recorder& record;
    std::string name;
    std::filesystem::path folder;
    std::string front;
    std::string ready;
    std::string config;
    pid_t process = -1;
};

// A temporary folder that is removed at the end, unless KEEP is set.
class temporary_folder {
public:
    temporary_folder()
    {
        std::string pattern = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
        this->path = mkdtemp(pattern.data());
    }
    ~temporary_folder()
    {
        if (std::getenv("KEEP") == nullptr) {
            std::filesystem::remove_all(this->path);
        } else {
            std::cout << "kept " << this->path.string() << "\n";
        }
    }
    temporary_folder(const temporary_folder&) = delete;
    temporary_folder& operator=(const temporary_folder&) = delete;

    std::filesystem::path path;
};

// The fields of a settings file, like those of a small deployment (DEPLOY.md).
inline json small_deployment(const std::string& store_address)
{
    return {{"zone", "zone-a"},
            {"region", "region"},
            {"limits",
             {{"cpuShare", 0.19}, {"cores", 1}, {"memoryMb", 260}, {"maxFds", 4100}, {"linkMbps", 1000.0}}},
            {"heartbeatMs", 1200},
            {"bounds",
             {{"contactMs", 3000},
              {"drainMs", 2000},
              {"graceS", 8},
              {"configApplyMs", 2000},
              {"retryBudgetRatio", 0.2},
              {"budgetWindowS", 10},
              {"retrySlack", 54},
              {"leaseMs", 3000},
              {"thawSlackMs", 300}}},
            {"platform", {{"address", store_address}, {"form", "objects"}, {"historyS", 20}}}};
}

inline json route(const std::string& name, const std::string& kind, const std::string& service)
{
    return {{"name", name},
            {"host", "shop.example"},
            {"pathPrefix", "/" + name + "/"},
            {"kind", kind},
            {"service", service},
            {"timeoutMs", 1500},
            {"targetLatencyMs", 300},
            {"maxAttempts", kind == "idempotent" ? 2 : 1},
            {"priority", 2}};
}

inline json configuration(int version, const json& routes, const json& services)
{
    return {{"version", version},
            {"routes", routes},
            {"services", services},
            {"limits",
             {{"maxHeaderBytes", 16384},
              {"maxBodyBytes", 4194304},
              {"headerTimeoutMs", 5000},
              {"idleTimeoutMs", 10000}}}};
}

// A request of a caller.
inline message request(const std::string& method, const std::string& target, const std::string& attempt)
{
    return {method,
            target,
            0,
            {{"Host", "shop.example"}, {"Attempt-Id", attempt}, {"Deadline-Ms", "1500"}},
            method == "GET" ? "" : "order"};
}

inline bool has_trouble()
{
    const char* const trouble = std::getenv("TROUBLE");
    return trouble == nullptr || std::string(trouble) != "0";
}

enum exit_status { rule_held = 0, rule_broken = 1, could_not_run = 2 };

// Runs a case, which writes its record to the path that is the only argument.
inline int run_scenario(int argc, char** argv, int (*run_case)(recorder&, const temporary_folder&))
{
    recorder record(argc > 1 ? argv[1] : "record.txt");
    const temporary_folder folder;
    try {
        return run_case(record, folder);
    } catch (const std::exception& failure) {
        record.write(std::string("could not run: ") + failure.what());
        return could_not_run;
    }
}

} // namespace review
