#pragma once

#include "agent/answer_stream.h"
#include "net/event_loop.h"

#include <deque>
#include <memory>
#include <tanager.grpc.pb.h>

namespace tanager {

class grpc_answer_reactor;

// The event loop's side of one dispatch RPC. The reactor lives until `Finish` has been called on it, so the
// event loop determines its lifetime.
class grpc_answer_stream final : public answer_stream,
                                 public std::enable_shared_from_this<grpc_answer_stream> {
public:
    grpc_answer_stream(event_loop& loop, grpc_answer_reactor* reactor);

    void write(protocol::answer_frame frame) override;
    void finish() override;
    std::size_t queued_bytes() const override;
    void on_queue_empty(std::function<void()> callback) override;
    void on_cancelled(std::function<void()> callback) override;

    // Called by the reactor's callbacks, on the event loop's thread.
    void on_write_done(bool succeeded);
    void handle_cancel();

private:
    // Posts the start of the next write to the event loop, so that frames queued in the same loop iteration
    // can be merged.
    void schedule_write();
    void start_next_write();
    void end_call();

    event_loop& loop;
    grpc_answer_reactor* reactor;
    bool is_write_scheduled = false;
    std::deque<protocol::answer_frame> queue;
    std::size_t queued_data_bytes = 0;
    protocol::answer_frame in_flight;
    bool is_writing = false;
    bool is_finished = false;
    bool is_cancelled = false;
    std::function<void()> queue_empty_callback;
    std::function<void()> cancelled_callback;
};

// gRPC's side of one dispatch RPC: posts every callback to the event loop.
class grpc_answer_reactor final : public grpc::ServerWriteReactor<protocol::answer_frame> {
public:
    explicit grpc_answer_reactor(event_loop& loop);

    std::shared_ptr<grpc_answer_stream> stream() const;

    void OnWriteDone(bool succeeded) override;
    void OnCancel() override;
    void OnDone() override;

private:
    event_loop& loop;
    std::shared_ptr<grpc_answer_stream> loop_stream;
};

} // namespace tanager
