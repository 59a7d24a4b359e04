#pragma once

#include "agent/entry_stream.h"
#include "net/event_loop.h"

#include <deque>
#include <memory>
#include <tanager.grpc.pb.h>

namespace tanager {

class grpc_entry_reactor;

// One exchange RPC as used on the event loop's thread.
class grpc_entry_stream final : public entry_stream {
public:
    explicit grpc_entry_stream(grpc_entry_reactor* reactor);

    void send(const protocol::agent_message& message) override;
    void close() override;
    void on_message(std::function<void(const protocol::entry_message&)> callback) override;
    void on_closed(std::function<void()> callback) override;

    // Starts to read one message. The first call must come after the callbacks have been set.
    void start_read();

    // Called by the reactor's callbacks, on the event loop's thread.
    void on_read_done(bool succeeded);
    void on_write_done(bool succeeded);

private:
    void start_next_write();
    void end_call();

    grpc_entry_reactor* reactor;
    protocol::entry_message incoming;
    std::deque<protocol::agent_message> queue;
    protocol::agent_message in_flight;
    bool is_reading = false;
    bool is_writing = false;
    bool is_closing = false;
    std::function<void(const protocol::entry_message&)> message_callback;
    std::function<void()> closed_callback;
};

// Receives gRPC's callbacks for one exchange RPC on gRPC's threads and posts each to the event loop.
class grpc_entry_reactor final
    : public grpc::ServerBidiReactor<protocol::entry_message, protocol::agent_message> {
public:
    explicit grpc_entry_reactor(event_loop& loop);

    std::shared_ptr<grpc_entry_stream> stream() const;

    void OnReadDone(bool succeeded) override;
    void OnWriteDone(bool succeeded) override;
    void OnCancel() override;
    void OnDone() override;

private:
    event_loop& loop;
    std::shared_ptr<grpc_entry_stream> loop_stream;
};

} // namespace tanager
