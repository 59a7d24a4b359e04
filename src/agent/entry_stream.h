// The standing connection between an agent and one entry.
#pragma once

#include <functional>
#include <tanager.pb.h>

namespace tanager {

// Used from the loop's thread only.
class entry_stream {
public:
    entry_stream() = default;
    entry_stream(const entry_stream&) = delete;
    entry_stream& operator=(const entry_stream&) = delete;
    entry_stream(entry_stream&&) = delete;
    entry_stream& operator=(entry_stream&&) = delete;
    virtual ~entry_stream() = default;

    // Sends a message; one that has not left yet is replaced when neither carries catalogue changes.
    virtual void send(const protocol::agent_message& message) = 0;

    // Ends the connection.
    virtual void close() = 0;

    virtual void on_message(std::function<void(const protocol::entry_message&)> callback) = 0;

    // Called once when the connection has ended.
    virtual void on_closed(std::function<void()> callback) = 0;
};

} // namespace tanager
