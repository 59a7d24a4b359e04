#include "agent/internal/grpc_answer_stream.h"

#include "answers/answer_framer.h"

namespace tanager {

namespace {

constexpr std::size_t max_merged_frame_bytes = std::size_t{64} * 1024;

} // namespace

grpc_answer_stream::grpc_answer_stream(event_loop& loop, grpc_answer_reactor* reactor)
    : loop(loop), reactor(reactor)
{
}

void grpc_answer_stream::write(protocol::answer_frame frame)
{
    if (this->reactor == nullptr || this->is_finished) {
        return;
    }
    const std::size_t bytes = frame.data().size();
    this->queued_data_bytes += bytes;
    const bool is_merged =
        !this->queue.empty() && answer_framer::try_merge(this->queue.back(), frame, max_merged_frame_bytes);
    if (!is_merged) {
        this->queue.push_back(std::move(frame));
    }
    this->schedule_write();
}

void grpc_answer_stream::schedule_write()
{
    if (this->is_write_scheduled) {
        return;
    }
    this->is_write_scheduled = true;
    this->loop.post([self = this->shared_from_this()] {
        self->is_write_scheduled = false;
        self->start_next_write();
    });
}

void grpc_answer_stream::start_next_write()
{
    if (this->is_writing || this->reactor == nullptr) {
        return;
    }
    if (this->queue.empty()) {
        if (this->is_finished) {
            this->end_call();
        }
        return;
    }
    this->in_flight = std::move(this->queue.front());
    this->queue.pop_front();
    this->queued_data_bytes -= this->in_flight.data().size();
    this->is_writing = true;
    this->reactor->StartWrite(&this->in_flight);
}

void grpc_answer_stream::on_write_done(bool succeeded)
{
    this->is_writing = false;
    if (!succeeded) {
        this->queue.clear();
        this->queued_data_bytes = 0;
    }
    this->start_next_write();
    if (this->queue.empty() && !this->is_finished && this->queue_empty_callback) {
        this->queue_empty_callback();
    }
}

void grpc_answer_stream::finish()
{
    this->is_finished = true;
    this->queue_empty_callback = nullptr;
    this->cancelled_callback = nullptr;
    this->schedule_write();
}

void grpc_answer_stream::end_call()
{
    auto* const ended = this->reactor;
    this->reactor = nullptr;
    ended->Finish(this->is_cancelled ? grpc::Status::CANCELLED : grpc::Status::OK);
}

void grpc_answer_stream::handle_cancel()
{
    this->is_cancelled = true;
    if (!this->cancelled_callback) {
        return;
    }
    const auto callback = std::move(this->cancelled_callback);
    this->cancelled_callback = nullptr;
    callback();
}

std::size_t grpc_answer_stream::queued_bytes() const
{
    return this->queued_data_bytes;
}

void grpc_answer_stream::on_queue_empty(std::function<void()> callback)
{
    this->queue_empty_callback = std::move(callback);
}

void grpc_answer_stream::on_cancelled(std::function<void()> callback)
{
    this->cancelled_callback = std::move(callback);
    if (this->is_cancelled) {
        this->handle_cancel();
    }
}

grpc_answer_reactor::grpc_answer_reactor(event_loop& loop)
    : loop(loop), loop_stream(std::make_shared<grpc_answer_stream>(loop, this))
{
}

std::shared_ptr<grpc_answer_stream> grpc_answer_reactor::stream() const
{
    return this->loop_stream;
}

void grpc_answer_reactor::OnWriteDone(bool succeeded)
{
    this->loop.post([loop_stream = this->loop_stream, succeeded] { loop_stream->on_write_done(succeeded); });
}

void grpc_answer_reactor::OnCancel()
{
    this->loop.post([loop_stream = this->loop_stream] { loop_stream->handle_cancel(); });
}

void grpc_answer_reactor::OnDone()
{
    delete this; // NOLINT(*-owning-memory)
}

} // namespace tanager
