// A caller that speaks TCP itself, to misbehave as no library would.
#pragma once

#include <string>

namespace tanager::testing {

class raw_tcp_client {
public:
    // Connects at once; throws when that fails. A receive buffer of 0 bytes leaves the kernel's default.
    explicit raw_tcp_client(const std::string& address, int receive_buffer_bytes = 0);
    ~raw_tcp_client();
    raw_tcp_client(const raw_tcp_client&) = delete;
    raw_tcp_client& operator=(const raw_tcp_client&) = delete;
    raw_tcp_client(raw_tcp_client&&) = delete;
    raw_tcp_client& operator=(raw_tcp_client&&) = delete;

    // Sends as much as the peer takes; returns whether that was all.
    bool send(const std::string& bytes) const;

    // Closes the sending side only.
    void shutdown_send() const;

    // Receives up to a number of bytes; empty at the end of the stream or after 30 s.
    std::string receive(std::size_t max_bytes) const;

    // Receives until the peer closes, or a text has been seen.
    std::string receive_until(const std::string& text) const;

private:
    int descriptor;
};

} // namespace tanager::testing
