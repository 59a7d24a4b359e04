#pragma once

#include "net/event_loop.h"

#include <deque>
#include <functional>
#include <memory>
#include <tanager.grpc.pb.h>

namespace tanager {

class grpc_agent_stream_reactor;

// The long-lived exchange stream to one agent, used on the loop's thread.
class grpc_agent_stream final : public std::enable_shared_from_this<grpc_agent_stream> {
public:
    using message_callback = std::function<void(const protocol::agent_message&)>;

    grpc_agent_stream(message_callback on_message, std::function<void()> on_closed);

    void start(event_loop& loop, protocol::agent_service::Stub& stub);

    void send(const protocol::entry_message& message);

    // Closes the stream; no callback is called afterwards.
    void close();

    // Called on the loop's thread when a gRPC operation of the reactor has completed.
    void on_read_done(bool succeeded);
    void on_write_done(bool succeeded);

private:
    void start_read();
    void start_write();
    void release_hold_if_idle();

    grpc_agent_stream_reactor* reactor = nullptr;
    message_callback on_message;
    std::function<void()> on_closed;
    protocol::agent_message incoming;
    std::deque<protocol::entry_message> send_queue;
    protocol::entry_message in_flight;
    bool is_reading = false;
    bool is_writing = false;
    bool is_closed = false;
};

} // namespace tanager
