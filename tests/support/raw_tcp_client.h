// A caller on a plain blocking socket, for malformed or slow requests that an HTTP library would not send.
#pragma once

#include <string>

namespace tanager::testing {

class raw_tcp_client {
public:
    // Connects to `address` (ip:port); throws if that fails. A `receive_buffer_bytes` of 0 keeps the kernel's
    // default.
    explicit raw_tcp_client(const std::string& address, int receive_buffer_bytes = 0);
    ~raw_tcp_client();
    raw_tcp_client(const raw_tcp_client&) = delete;
    raw_tcp_client& operator=(const raw_tcp_client&) = delete;
    raw_tcp_client(raw_tcp_client&&) = delete;
    raw_tcp_client& operator=(raw_tcp_client&&) = delete;

    // Returns whether all bytes were sent; false if the peer closed the connection or accepted nothing for
    // 30 s.
    bool send(const std::string& bytes) const;

    // Closes only the sending side of the connection.
    void shutdown_send() const;

    // Receives at most `max_bytes`. Returns an empty string at the end of the stream or after 30 s without
    // data.
    std::string receive(std::size_t max_bytes) const;

    // Receives until `text` has arrived, the peer closes the connection, or 30 s pass without data.
    std::string receive_until(const std::string& text) const;

private:
    int descriptor;
};

} // namespace tanager::testing
