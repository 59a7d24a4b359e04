// A small site for the cases of the third review: HTTP on blocking sockets, the platform's store, backend
// servers, callers, and gateways as processes of their own. Written from PROTOCOL.md, DEPLOY.md and NEWS.md.
#pragma once

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <optional>
#include <poll.h>
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

namespace review3 {

using nlohmann::json;
using steady = std::chrono::steady_clock;
using ms = std::chrono::milliseconds;

enum verdict { held = 0, broken = 1, could_not_run = 2 };

inline void pause_for(ms span)
{
    std::this_thread::sleep_for(span);
}

inline bool with_trouble()
{
    const char* const value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

// Lines of record.txt, each with the milliseconds since the start.
class journal {
public:
    explicit journal(const std::string& path) : file(path) {}

    void line(const std::string& text)
    {
        const std::lock_guard lock(this->mutex);
        this->file << this->now() << " " << text << std::endl;
    }

    long long now() const
    {
        return std::chrono::duration_cast<ms>(steady::now() - this->start).count();
    }

private:
    std::mutex mutex;
    std::ofstream file;
    steady::time_point start = steady::now();
};

using header_rows = std::vector<std::pair<std::string, std::string>>;

inline std::string find_row(const header_rows& rows, const std::string& name)
{
    for (const auto& [key, value] : rows) {
        if (strcasecmp(key.c_str(), name.c_str()) == 0) {
            return value;
        }
    }
    return {};
}

// A request or an answer.
struct http_text {
    std::string first_line;
    header_rows rows;
    std::string body;

    std::string word(std::size_t index) const
    {
        std::istringstream words(this->first_line);
        std::string word;
        for (std::size_t count = 0; count <= index; ++count) {
            word.clear();
            words >> word;
        }
        return word;
    }

    std::string row(const std::string& name) const
    {
        return find_row(this->rows, name);
    }

    int status() const
    {
        return std::atoi(this->word(1).c_str());
    }
};

inline sockaddr_in native_address(const std::string& address)
{
    sockaddr_in native{};
    const auto colon = address.rfind(':');
    native.sin_family = AF_INET;
    native.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &native.sin_addr);
    return native;
}

class channel {
public:
    explicit channel(int descriptor) : descriptor(descriptor)
    {
        const int on = 1;
        setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    }
    ~channel()
    {
        close(this->descriptor);
    }
    channel(const channel&) = delete;
    channel& operator=(const channel&) = delete;

    static std::unique_ptr<channel> open(const std::string& address)
    {
        auto opened = std::make_unique<channel>(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
        const auto native = native_address(address);
        const bool is_open =
            connect(opened->descriptor, reinterpret_cast<const sockaddr*>(&native), sizeof(native)) == 0;
        return is_open ? std::move(opened) : nullptr;
    }

    int native() const
    {
        return this->descriptor;
    }

    bool write(std::string_view bytes) const
    {
        while (!bytes.empty()) {
            const auto count = ::send(this->descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (count <= 0) {
                return false;
            }
            bytes.remove_prefix(static_cast<std::size_t>(count));
        }
        return true;
    }

    // The next close resets the channel.
    void reset_at_close() const
    {
        const linger now{1, 0};
        setsockopt(this->descriptor, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    }

    // Reads a request or an answer; nothing if the channel ends before it is complete, or at the deadline.
    std::optional<http_text> read(steady::time_point deadline)
    {
        const auto head_end = this->find("\r\n\r\n", 0, deadline);
        if (!head_end) {
            return std::nullopt;
        }
        http_text text;
        std::istringstream head(this->buffered.substr(0, *head_end));
        this->buffered.erase(0, *head_end + 4);
        std::string line;
        while (std::getline(head, line)) {
            if (!line.empty() && line.back() == '\r') {
                line.pop_back();
            }
            const auto colon = line.find(':');
            if (text.first_line.empty()) {
                text.first_line = line;
            } else if (colon != std::string::npos) {
                const auto value = line.find_first_not_of(' ', colon + 1);
                text.rows.emplace_back(line.substr(0, colon),
                                       value == std::string::npos ? "" : line.substr(value));
            }
        }
        if (strcasecmp(text.row("Transfer-Encoding").c_str(), "chunked") == 0) {
            return this->read_chunks(text, deadline) ? std::optional{text} : std::nullopt;
        }
        const auto length = static_cast<std::size_t>(std::atoll(text.row("Content-Length").c_str()));
        if (!this->fill(length, deadline)) {
            return std::nullopt;
        }
        text.body = this->buffered.substr(0, length);
        this->buffered.erase(0, length);
        return text;
    }

private:
    bool receive(steady::time_point deadline)
    {
        const auto left = std::chrono::duration_cast<ms>(deadline - steady::now()).count();
        pollfd waited{this->descriptor, POLLIN, 0};
        if (left <= 0 || poll(&waited, 1, static_cast<int>(left)) <= 0) {
            return false;
        }
        char bytes[16'384];
        const auto count = recv(this->descriptor, bytes, sizeof(bytes), 0);
        if (count <= 0) {
            return false;
        }
        this->buffered.append(bytes, static_cast<std::size_t>(count));
        return true;
    }

    bool fill(std::size_t length, steady::time_point deadline)
    {
        while (this->buffered.size() < length) {
            if (!this->receive(deadline)) {
                return false;
            }
        }
        return true;
    }

    std::optional<std::size_t> find(std::string_view mark, std::size_t from, steady::time_point deadline)
    {
        auto found = this->buffered.find(mark, from);
        while (found == std::string::npos) {
            if (!this->receive(deadline)) {
                return std::nullopt;
            }
            found = this->buffered.find(mark, from);
        }
        return found;
    }

    bool read_chunks(http_text& text, steady::time_point deadline)
    {
        while (true) {
            const auto line_end = this->find("\r\n", 0, deadline);
            if (!line_end) {
                return false;
            }
            const auto size = std::stoul(this->buffered.substr(0, *line_end), nullptr, 16);
            if (!this->fill(*line_end + 2 + size + 2, deadline)) {
                return false;
            }
            text.body += this->buffered.substr(*line_end + 2, size);
            this->buffered.erase(0, *line_end + 2 + size + 2);
            if (size == 0) {
                return true;
            }
        }
    }

    int descriptor;
    std::string buffered;
};

inline std::string make_answer(int status, const header_rows& rows, const std::string& body)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " x\r\n";
    for (const auto& [name, value] : rows) {
        text += name + ": " + value + "\r\n";
    }
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Accepts channels, and serves each in a thread. `serve` returns false to close the channel.
class listener {
public:
    using serve_function = std::function<bool(channel&, const http_text&)>;

    explicit listener(serve_function serve) : serve(std::move(serve))
    {
        this->descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        auto native = native_address("127.0.0.1:0");
        socklen_t length = sizeof(native);
        auto* const bound = reinterpret_cast<sockaddr*>(&native);
        if (bind(this->descriptor, bound, length) != 0 || ::listen(this->descriptor, 512) != 0) {
            throw std::runtime_error("no free port");
        }
        getsockname(this->descriptor, bound, &length);
        this->port = ntohs(native.sin_port);
        this->acceptor = std::thread([this] { this->accept_all(); });
    }

    ~listener()
    {
        this->end();
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(this->port);
    }

    // Closes the port and all channels.
    void end()
    {
        if (this->is_ended.exchange(true)) {
            return;
        }
        shutdown(this->descriptor, SHUT_RDWR);
        this->acceptor.join();
        close(this->descriptor);
        this->cut_channels();
        for (auto& thread : this->threads) {
            thread.join();
        }
    }

    void cut_channels()
    {
        const std::lock_guard lock(this->mutex);
        for (const int open : this->open) {
            shutdown(open, SHUT_RDWR);
        }
    }

private:
    void accept_all()
    {
        while (true) {
            const int accepted = accept4(this->descriptor, nullptr, nullptr, SOCK_CLOEXEC);
            if (accepted < 0) {
                return;
            }
            const std::lock_guard lock(this->mutex);
            this->open.insert(accepted);
            this->threads.emplace_back([this, accepted] { this->serve_channel(accepted); });
        }
    }

    void serve_channel(int accepted)
    {
        channel peer(accepted);
        while (!this->is_ended) {
            const auto request = peer.read(steady::now() + std::chrono::minutes(3));
            if (!request || !this->serve(peer, *request)) {
                break;
            }
        }
        const std::lock_guard lock(this->mutex);
        this->open.erase(accepted);
    }

    serve_function serve;
    int descriptor = -1;
    int port = 0;
    std::atomic<bool> is_ended = false;
    std::mutex mutex;
    std::set<int> open;
    std::list<std::thread> threads;
    std::thread acceptor;
};

// The platform's store. Each gateway may have an entrance of its own, so that it alone can be turned away.
class store {
public:
    explicit store(journal& log) : log(log) {}

    ~store()
    {
        {
            const std::lock_guard lock(this->mutex);
            this->is_ended = true;
            this->changed.notify_all();
        }
        this->entrances.clear();
    }

    // Returns the address of a new entrance.
    std::string open_entrance(const std::string& name)
    {
        const std::lock_guard lock(this->mutex);
        this->entrances[name] =
            std::make_unique<listener>([this, name](channel& peer, const http_text& request) {
                return this->serve(name, peer, request);
            });
        return this->entrances[name]->address();
    }

    // Turned away, an entrance answers 429 (`platform_down` "nodes many").
    void turn_away(const std::string& entrance, bool is_away)
    {
        const std::lock_guard lock(this->mutex);
        is_away ? static_cast<void>(this->turned_away.insert(entrance))
                : static_cast<void>(this->turned_away.erase(entrance));
        ++this->interruptions;
        this->changed.notify_all();
    }

    void turn_all_away(bool is_away)
    {
        std::vector<std::string> names;
        {
            const std::lock_guard lock(this->mutex);
            for (const auto& [name, entrance] : this->entrances) {
                names.push_back(name);
            }
        }
        for (const auto& name : names) {
            this->turn_away(name, is_away);
        }
    }

    // Answers through this entrance leave no faster than the machine's link carries them.
    void limit_link(const std::string& entrance, double megabits_per_second)
    {
        const std::lock_guard lock(this->mutex);
        this->link_megabits[entrance] = megabits_per_second;
    }

    // A write of the operator or of a backend server; nothing for a removal.
    void write(const std::string& kind, const std::string& name, const std::optional<json>& spec)
    {
        const std::lock_guard lock(this->mutex);
        this->apply(kind, name, spec, steady::now());
        this->log.line("store: " + kind + "/" + name +
                       (spec ? " written, " + std::to_string(spec->dump().size()) + " bytes" : " removed") +
                       ", revision " + std::to_string(this->revision));
    }

    // Comes back as it was `age` ago, in the next era. What the operator and the servers wrote since is
    // written again by them, not by the store.
    void restore(ms age)
    {
        const std::lock_guard lock(this->mutex);
        const auto copied_at = steady::now() - age;
        const auto before = std::exchange(this->history, {});
        this->objects.clear();
        this->revision = 1;
        this->first_watchable = 1;
        for (const auto& change : before) {
            if (change.at <= copied_at) {
                this->apply(change.kind, change.name, change.spec, change.at);
            }
        }
        ++this->era;
        ++this->interruptions;
        this->changed.notify_all();
        this->log.line("store: restored from a copy that is " + std::to_string(age.count()) +
                       " ms old, era " + std::to_string(this->era) + ", revision " +
                       std::to_string(this->revision));
    }

    json read(const std::string& kind, const std::string& name)
    {
        const std::lock_guard lock(this->mutex);
        const auto found = this->objects.find({kind, name});
        return found == this->objects.end() ? json() : found->second.spec;
    }

private:
    struct object {
        std::uint64_t revision = 0;
        json spec;
        json status;
        json finalizers = json::array();
    };

    struct change {
        std::uint64_t revision = 0;
        steady::time_point at;
        std::string kind;
        std::string name;
        std::optional<json> spec;
        json shown;
    };

    static json show(const std::string& name, const object& shown)
    {
        return {{"metadata",
                 {{"name", name},
                  {"revision", shown.revision},
                  {"created", 1},
                  {"finalizers", shown.finalizers},
                  {"deleting", false}}},
                {"spec", shown.spec},
                {"status", shown.status}};
    }

    void apply(const std::string& kind,
               const std::string& name,
               const std::optional<json>& spec,
               steady::time_point at)
    {
        const auto found = this->objects.find({kind, name});
        const bool is_same =
            spec ? found != this->objects.end() && found->second.spec == *spec : found == this->objects.end();
        if (is_same) {
            return;
        }
        object next = found == this->objects.end() ? object{} : found->second;
        next.revision = ++this->revision;
        if (spec) {
            next.spec = *spec;
            this->objects[{kind, name}] = next;
        } else {
            this->objects.erase(found);
        }
        this->history.push_back({this->revision, at, kind, name, spec, show(name, next)});
        this->changed.notify_all();
    }

    // Sends an answer without holding the lock meanwhile.
    bool send(std::unique_lock<std::mutex>& lock,
              const std::string& entrance,
              channel& peer,
              int status,
              const json& body)
    {
        const auto text =
            make_answer(status,
                        {{"Content-Type", "application/json"}, {"Store-Era", std::to_string(this->era)}},
                        body.dump());
        const auto limited = this->link_megabits.find(entrance);
        const double megabits = limited == this->link_megabits.end() ? 0 : limited->second;
        lock.unlock();
        return megabits > 0 ? send_slowly(peer, text, megabits) : peer.write(text);
    }

    static bool send_slowly(channel& peer, std::string_view text, double megabits)
    {
        constexpr std::size_t piece_bytes = 12'500;
        const auto began_at = steady::now();
        for (std::size_t sent = 0; sent < text.size(); sent += piece_bytes) {
            const std::chrono::duration<double> due{static_cast<double>(sent) * 8 / (megabits * 1e6)};
            std::this_thread::sleep_until(began_at + std::chrono::duration_cast<steady::duration>(due));
            if (!peer.write(text.substr(sent, piece_bytes))) {
                return false;
            }
        }
        return true;
    }

    bool serve(const std::string& entrance, channel& peer, const http_text& request)
    {
        std::unique_lock lock(this->mutex);
        if (this->turned_away.contains(entrance)) {
            return this->send(lock, entrance, peer, 429, json::object());
        }
        const auto target = request.word(1);
        const auto path = target.substr(0, target.find('?'));
        std::map<std::string, std::string> query;
        std::istringstream parts(path.size() < target.size() ? target.substr(path.size() + 1) : "");
        for (std::string part; std::getline(parts, part, '&');) {
            query[part.substr(0, part.find('='))] = part.substr(std::min(part.find('=') + 1, part.size()));
        }
        const std::string prefix = "/objects/";
        if (!path.starts_with(prefix)) {
            return this->send(lock, entrance, peer, 404, json::object());
        }
        const auto slash = path.find('/', prefix.size());
        const auto kind = path.substr(prefix.size(), slash - prefix.size());
        const auto name = slash == std::string::npos ? std::string{} : path.substr(slash + 1);
        if (request.word(0) != "GET") {
            return this->serve_write(lock, entrance, peer, request, kind, name, query);
        }
        if (!name.empty()) {
            const auto found = this->objects.find({kind, name});
            return found == this->objects.end()
                       ? this->send(lock, entrance, peer, 404, json::object())
                       : this->send(lock, entrance, peer, 200, show(name, found->second));
        }
        return query.contains("watch") ? this->serve_watch(lock, entrance, peer, kind, query)
                                       : this->serve_list(lock, entrance, peer, kind);
    }

    bool serve_list(std::unique_lock<std::mutex>& lock,
                    const std::string& entrance,
                    channel& peer,
                    const std::string& kind)
    {
        auto items = json::array();
        for (const auto& [key, found] : this->objects) {
            if (key.first == kind) {
                items.push_back(show(key.second, found));
            }
        }
        return this->send(lock,
                          entrance,
                          peer,
                          200,
                          {{"items", items}, {"hasMore", false}, {"storeRevision", this->revision}});
    }

    bool serve_watch(std::unique_lock<std::mutex>& lock,
                     const std::string& entrance,
                     channel& peer,
                     const std::string& kind,
                     std::map<std::string, std::string>& query)
    {
        const auto since = std::stoull(query["watch"]);
        const auto until = steady::now() + ms(std::stoll(query.contains("waitMs") ? query["waitMs"] : "0"));
        const auto interruptions_before = this->interruptions;
        this->forget_history();
        if (since > this->revision || since < this->first_watchable) {
            return this->send(lock, entrance, peer, 410, json::object());
        }
        while (true) {
            auto events = json::array();
            for (const auto& each : this->history) {
                if (each.kind == kind && each.revision > since) {
                    events.push_back({{"object", each.shown}, {"deleted", !each.spec}});
                }
            }
            if (!events.empty() || steady::now() >= until) {
                return this->send(
                    lock, entrance, peer, 200, {{"events", events}, {"storeRevision", this->revision}});
            }
            this->changed.wait_until(lock, until);
            if (this->is_ended || this->interruptions != interruptions_before) {
                return false; // a watch that waits may be cut off
            }
        }
    }

    // `historyS`; the writes stay known for a copy.
    void forget_history()
    {
        const auto oldest = steady::now() - std::chrono::seconds(20);
        for (const auto& each : this->history) {
            if (each.at < oldest) {
                this->first_watchable = std::max(this->first_watchable, each.revision);
            }
        }
    }

    bool serve_write(std::unique_lock<std::mutex>& lock,
                     const std::string& entrance,
                     channel& peer,
                     const http_text& request,
                     const std::string& kind,
                     const std::string& path_name,
                     std::map<std::string, std::string>& query)
    {
        const auto body = json::parse(request.body.empty() ? "{}" : request.body, nullptr, false);
        const auto metadata = body.value("metadata", json::object());
        const bool creates = request.word(0) == "POST";
        const auto name = creates ? metadata.value("name", std::string{}) : path_name;
        const auto found = this->objects.find({kind, name});
        const bool exists = found != this->objects.end();
        std::optional<std::uint64_t> expected;
        if (metadata.contains("revision")) {
            expected = metadata["revision"].get<std::uint64_t>();
        } else if (query.contains("revision")) {
            expected = std::stoull(query["revision"]);
        }
        int status = 200;
        if (creates) {
            status = exists ? 409 : 201;
        } else if (!exists) {
            status = 404;
        } else if (expected && *expected != found->second.revision) {
            status = 409;
        }
        if (status <= 201) {
            this->apply(kind,
                        name,
                        request.word(0) == "DELETE" ? std::nullopt
                                                    : std::optional{body.value("spec", json())},
                        steady::now());
        }
        this->log.line("store: " + entrance + " " + request.word(0) + " " + kind + "/" + name + " -> " +
                       std::to_string(status) + ", era " + std::to_string(this->era) + ", revision " +
                       std::to_string(this->revision));
        const auto now = this->objects.find({kind, name});
        return this->send(lock,
                          entrance,
                          peer,
                          status,
                          now == this->objects.end()
                              ? json{{"metadata", {{"name", name}, {"revision", this->revision}}}}
                              : show(name, now->second));
    }

    journal& log;
    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::pair<std::string, std::string>, object> objects;
    std::vector<change> history;
    std::uint64_t revision = 1;
    std::uint64_t first_watchable = 0;
    std::uint64_t era = 1;
    std::uint64_t interruptions = 0;
    bool is_ended = false;
    std::set<std::string> turned_away;
    std::map<std::string, double> link_megabits;
    std::map<std::string, std::unique_ptr<listener>> entrances;
};

// One run of a request by a backend server.
struct run {
    long long at = 0;
    std::string id;
    http_text request;
};

// A backend server of a plain service.
class backend {
public:
    backend(journal& log, std::string id, std::string service, ms work = ms(5))
        : log(log), id(std::move(id)), service(std::move(service)), work(work)
    {
        this->door = std::make_unique<listener>(
            [this](channel& peer, const http_text& request) { return this->serve(peer, request); });
    }

    json entry(const std::string& state = "ready") const
    {
        return {{"service", this->service},
                {"address", this->door->address()},
                {"zone", "zone-a"},
                {"version", "1"},
                {"slots", 6},
                {"state", state},
                {"coldRemainingMs", 0},
                {"sequence", 1},
                {"born", this->born}};
    }

    std::string name() const
    {
        return this->id;
    }

    // Ends like a process: the port closes, and what runs is cut.
    void exit()
    {
        this->door->cut_channels();
        this->door->end();
    }

    std::vector<run> runs()
    {
        const std::lock_guard lock(this->mutex);
        return this->began;
    }

    // From now on, all answers say that the server leaves.
    void leave()
    {
        this->is_leaving = true;
    }

private:
    bool serve(channel& peer, const http_text& request)
    {
        const auto attempt = request.row("Attempt-Id");
        header_rows rows{{"Attempt-Id", attempt}};
        const auto expected = request.row("Expect-Instance");
        if (!expected.empty() && expected != this->id) {
            rows.emplace_back("Not-Executed", "1");
            return peer.write(make_answer(421, rows, ""));
        }
        {
            const std::lock_guard lock(this->mutex);
            this->began.push_back({this->log.now(), attempt, request});
        }
        this->log.line("server " + this->id + " runs " + attempt + " (" + request.first_line + ")" +
                       (request.row("Tenant").empty() ? "" : " for the tenant " + request.row("Tenant")));
        pause_for(this->work);
        if (this->is_leaving) {
            rows.emplace_back("Server-Leaving", "1");
        }
        rows.emplace_back("Response-Seal", "seal-" + attempt);
        return peer.write(make_answer(200, rows, "answer to " + attempt));
    }

    journal& log;
    std::string id;
    std::string service;
    ms work;
    std::atomic<bool> is_leaving = false;
    long long born =
        std::chrono::duration_cast<ms>(std::chrono::system_clock::now().time_since_epoch()).count();
    std::mutex mutex;
    std::vector<run> began;
    std::unique_ptr<listener> door;
};

// Fills in the deploy file's template as DEPLOY.md says: values, and sections that are rendered or left out.
inline std::string fill_in(std::string text, const json& fields)
{
    const auto value_of = [&fields](const std::string& name) {
        std::string pointer = "/" + name;
        for (auto& letter : pointer) {
            letter = letter == '.' ? '/' : letter;
        }
        const json::json_pointer path(pointer);
        return fields.contains(path) ? fields.at(path) : json();
    };
    for (auto begin = text.find("{{#"); begin != std::string::npos; begin = text.find("{{#")) {
        const auto name = text.substr(begin + 3, text.find("}}", begin) - begin - 3);
        const std::string end_mark = "{{/" + name + "}}";
        const auto inner_begin = begin + name.size() + 5;
        const auto inner_end = text.find(end_mark, begin);
        const auto value = value_of(name);
        const auto inner = value.is_null() || value == json(false)
                               ? std::string{}
                               : text.substr(inner_begin, inner_end - inner_begin);
        text.replace(begin, inner_end + end_mark.size() - begin, inner);
    }
    for (auto begin = text.find("{{"); begin != std::string::npos; begin = text.find("{{")) {
        const auto end = text.find("}}", begin);
        const auto value = value_of(text.substr(begin + 2, end - begin - 2));
        std::string shown;
        if (value.is_array()) {
            for (const auto& each : value) {
                shown +=
                    (shown.empty() ? "" : ",") + (each.is_string() ? each.get<std::string>() : each.dump());
            }
        } else if (!value.is_null()) {
            shown = value.is_string() ? value.get<std::string>() : value.dump();
        }
        text.replace(begin, end + 2 - begin, shown);
    }
    return text;
}

// A port that is free for TCP and UDP, below those that the kernel gives to outgoing channels.
inline int free_port()
{
    static int next = 20'000 + static_cast<int>(getpid() % 400) * 25;
    for (; next < 32'000; ++next) {
        const auto native = native_address("127.0.0.1:" + std::to_string(next));
        const auto* const wanted = reinterpret_cast<const sockaddr*>(&native);
        const int stream = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int datagrams = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
        const bool is_free =
            bind(stream, wanted, sizeof(native)) == 0 && bind(datagrams, wanted, sizeof(native)) == 0;
        close(stream);
        close(datagrams);
        if (is_free) {
            return next++;
        }
    }
    throw std::runtime_error("no free port");
}

// A gateway, started with the command of the deploy file and its template.
class gateway {
public:
    gateway(journal& log, const std::string& name, json fields, const std::filesystem::path& folder)
        : log(log), name(name), log_path(folder / (name + ".log")), settings_path(folder / (name + ".ini"))
    {
        const auto local = [](int port) {
            return "127.0.0.1:" + std::to_string(port);
        };
        this->front = local(free_port());
        this->ready = local(free_port());
        const int peers = free_port();
        fields["nodeName"] = name;
        fields["ip"] = "127.0.0.1";
        fields["listen"] = {{"front", this->front}, {"ready", this->ready}};
        fields["internalPorts"] = {peers, peers};
        std::ifstream file("deploy/gateway.ini");
        const std::string text{std::istreambuf_iterator<char>(file), {}};
        std::ofstream(this->settings_path) << fill_in(text, fields);
    }

    ~gateway()
    {
        this->kill();
    }

    void start()
    {
        this->log.line("gateway " + this->name + " is started");
        this->process = fork();
        if (this->process == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int output = open(this->log_path.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            dup2(output, STDOUT_FILENO);
            dup2(output, STDERR_FILENO);
            const char* const program = "target/bin/tanager-gateway";
            execl(program, program, "--config", this->settings_path.c_str(), nullptr);
            _exit(127);
        }
    }

    void send_signal(int number)
    {
        if (this->process > 0) {
            this->log.line("gateway " + this->name + " gets signal " + std::to_string(number));
            ::kill(this->process, number);
        }
    }

    void kill()
    {
        if (this->process > 0) {
            this->send_signal(SIGKILL);
            waitpid(this->process, nullptr, 0);
            this->process = -1;
        }
    }

    bool is_running()
    {
        return this->process > 0 && waitpid(this->process, nullptr, WNOHANG) == 0;
    }

    bool wait_until_ready(ms limit) const
    {
        for (const auto until = steady::now() + limit; steady::now() < until; pause_for(ms(10))) {
            const auto asked = channel::open(this->ready);
            if (asked != nullptr && asked->write("GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n")) {
                const auto answer = asked->read(steady::now() + ms(500));
                if (answer && answer->status() == 200) {
                    this->log.line("gateway " + this->name + " is ready");
                    return true;
                }
            }
        }
        this->log.line("gateway " + this->name + " did not become ready");
        return false;
    }

    std::string address() const
    {
        return this->front;
    }

private:
    journal& log;
    std::string name;
    std::filesystem::path log_path;
    std::filesystem::path settings_path;
    std::string front;
    std::string ready;
    pid_t process = -1;
};

// Sends one request on a new channel, and returns the status of the answer; 0 if there is none.
inline int ask(journal& log,
               const std::string& address,
               const std::string& first_line,
               const header_rows& rows,
               const std::string& body = {},
               ms timeout = ms(1'500))
{
    std::string text = first_line + " HTTP/1.1\r\n";
    for (const auto& [name, value] : rows) {
        text += name + ": " + value + "\r\n";
    }
    if (!body.empty()) {
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    text += "\r\n" + body;
    log.line("caller sends " + find_row(rows, "Attempt-Id") + " (" + first_line + ")");
    const auto opened = channel::open(address);
    int status = 0;
    if (opened != nullptr && opened->write(text)) {
        const auto answer = opened->read(steady::now() + timeout);
        status = answer ? answer->status() : 0;
    }
    log.line("caller gets " + std::to_string(status) + " for " + find_row(rows, "Attempt-Id"));
    return status;
}

// A folder that is removed at the end, unless KEEP is set.
class scratch_folder {
public:
    scratch_folder()
    {
        std::string pattern = (std::filesystem::temp_directory_path() / "review-3-XXXXXX").string();
        if (mkdtemp(pattern.data()) == nullptr) {
            throw std::runtime_error("no temporary folder");
        }
        this->path = pattern;
    }
    ~scratch_folder()
    {
        if (std::getenv("KEEP") == nullptr) {
            std::filesystem::remove_all(this->path);
        } else {
            std::cout << "kept " << this->path.string() << "\n";
        }
    }
    scratch_folder(const scratch_folder&) = delete;
    scratch_folder& operator=(const scratch_folder&) = delete;

    std::filesystem::path path;
};

// The bounds of one gateway's settings, with the figures of the sheet of demands/plmsc-online-grown.
inline json settings_of_demands(const std::string& store_address)
{
    return {{"zone", "zone-a"},
            {"region", "region"},
            {"limits",
             {{"cpuShare", 0.5}, {"cores", 1}, {"memoryMb", 512}, {"maxFds", 8192}, {"linkMbps", 200.0}}},
            {"heartbeatMs", 1200},
            {"bounds",
             {{"seedLagS", 3},
              {"reuseAfterS", 2},
              {"contactMs", 4000},
              {"ackMs", 6000},
              {"catchUpS", 6},
              {"drainMs", 3000},
              {"graceS", 8},
              {"lossSlackMs", 200},
              {"configApplyMs", 3000},
              {"rollbackSlackMs", 250},
              {"maxStretchMs", 6000},
              {"failClosed", true},
              {"revokeMs", 5000},
              {"retryBudgetRatio", 0.2},
              {"budgetWindowS", 10},
              {"retrySlack", 92},
              {"fencingRequired", false},
              {"leaseMs", 3000},
              {"thawSlackMs", 300},
              {"reportWindowS", 5},
              {"usageTolerance", 0.05},
              {"usageLateS", 10},
              {"recoveryS", 15}}},
            {"platform", {{"address", store_address}, {"form", "objects"}, {"historyS", 20}}}};
}

inline json make_route(const std::string& name, const std::string& kind, const std::string& service)
{
    return {{"name", name},
            {"host", "bank.example"},
            {"pathPrefix", "/" + name + "/"},
            {"kind", kind},
            {"service", service},
            {"timeoutMs", 600},
            {"targetLatencyMs", 120},
            {"maxAttempts", kind == "idempotent" ? 2 : 1},
            {"priority", 2}};
}

inline int
run_case(int argc, char** argv, const std::function<verdict(journal&, const std::filesystem::path&)>& body)
{
    journal log(argc > 1 ? argv[1] : "record.txt");
    try {
        const scratch_folder folder;
        const auto result = body(log, folder.path);
        log.line(result == held     ? "the rule held"
                 : result == broken ? "THE RULE WAS BROKEN"
                                    : "could not run");
        return result;
    } catch (const std::exception& failure) {
        log.line(std::string("could not run: ") + failure.what());
        return could_not_run;
    }
}

} // namespace review3
