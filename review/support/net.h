// Blocking TCP and HTTP/1.1 for the stand-ins of the review.
#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace review {

using steady_time = std::chrono::steady_clock::time_point;

// Milliseconds since the first call in this process.
std::int64_t elapsed_ms();

struct http_message {
    std::string start_line;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    // Returns the first value of a header, or nothing.
    std::optional<std::string> header(std::string_view name) const;
    std::string header_or(std::string_view name, const std::string& absent) const;
    std::string method() const;
    std::string path() const;
    int status() const;
};

// One TCP connection; all calls block, and reads end after the receive timeout.
class connection {
public:
    explicit connection(int descriptor);
    ~connection();
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;
    connection(connection&&) = delete;
    connection& operator=(connection&&) = delete;

    static std::unique_ptr<connection> open(const std::string& address);

    void set_receive_timeout(std::chrono::milliseconds timeout) const;
    bool send(std::string_view bytes) const;

    // Reads one request: a body with a length or in chunks. Returns nothing when the peer has closed.
    std::optional<http_message> read_request();
    // Reads one response; a body without a length ends with the connection. `is_complete` tells whether the
    // body has ended as its framing says.
    std::optional<http_message> read_response(bool& is_complete);
    // Returns whether the peer has sent a byte or closed within the timeout.
    bool wait_for_input(std::chrono::milliseconds timeout) const;
    // Ends both directions, from any thread.
    void shut_down() const;

private:
    bool fill();
    std::optional<std::string> read_line();
    bool read_exactly(std::size_t count, std::string& target);
    bool read_head(http_message& message);
    bool read_chunks(std::string& body);

    int descriptor;
    std::string buffer;
};

// Accepts connections on a free loopback port and serves each on a thread of its own.
class listener {
public:
    using handler = std::function<void(connection&)>;

    explicit listener(handler serve);
    ~listener();
    listener(const listener&) = delete;
    listener& operator=(const listener&) = delete;
    listener(listener&&) = delete;
    listener& operator=(listener&&) = delete;

    std::string address() const;

    // Closes the port and all open connections, as the end of a process does.
    void stop();

private:
    void accept_all();

    handler serve;
    int descriptor = -1;
    std::string bound_address;
    std::atomic<bool> is_stopped = false;
    std::mutex mutex;
    std::vector<std::weak_ptr<connection>> open_connections;
};

// Returns a response with a length.
std::string make_response(int status, const std::string& headers, const std::string& body);

} // namespace review
