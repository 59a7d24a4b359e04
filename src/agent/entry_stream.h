// The long-lived control stream between an agent and one entry.
#pragma once

#include <functional>
#include <tanager.pb.h>

namespace tanager {

// Not thread-safe: used on the event loop's thread only.
class entry_stream {
public:
    entry_stream() = default;
    entry_stream(const entry_stream&) = delete;
    entry_stream& operator=(const entry_stream&) = delete;
    entry_stream(entry_stream&&) = delete;
    entry_stream& operator=(entry_stream&&) = delete;
    virtual ~entry_stream() = default;

    // Queues a message. It replaces the last queued message when both are load reports only, that is, when
    // neither carries a catalogue pull, a catalogue delta or crash reports.
    virtual void send(const protocol::agent_message& message) = 0;

    // Ends the stream once the queued messages have been written.
    virtual void close() = 0;

    virtual void on_message(std::function<void(const protocol::entry_message&)> callback) = 0;

    // Sets the callback that is called once when the stream has ended.
    virtual void on_closed(std::function<void()> callback) = 0;
};

} // namespace tanager
