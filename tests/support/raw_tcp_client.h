// A caller that speaks TCP itself, to misbehave as no library would.
#pragma once

#include <string>

namespace tanager::testing {

class raw_caller {
public:
    // Connects at once; throws when that fails. A receive buffer of 0 bytes leaves the kernel's default.
    explicit raw_caller(const std::string& address, int receive_buffer_bytes = 0);
    ~raw_caller();
    raw_caller(const raw_caller&) = delete;
    raw_caller& operator=(const raw_caller&) = delete;
    raw_caller(raw_caller&&) = delete;
    raw_caller& operator=(raw_caller&&) = delete;

    // Sends as much as the peer takes; returns whether that was all.
    bool send(const std::string& bytes) const;

    // Closes the sending side only.
    void close_sending() const;

    // Receives up to a number of bytes; empty at the end of the stream or after 30 s.
    std::string receive(std::size_t most) const;

    // Receives until the peer closes, or a text has been seen.
    std::string receive_until(const std::string& text) const;

private:
    int descriptor;
};

} // namespace tanager::testing
