#include "agent/internal/grpc_entry_stream.h"

namespace tanager {

namespace {

// A newer load report supersedes an older one. Messages with a catalogue pull, a catalogue delta or crash
// reports must all be delivered.
bool must_be_delivered(const protocol::agent_message& message)
{
    return message.has_pull() || message.has_delta() || message.crashes_size() > 0;
}

} // namespace

grpc_entry_stream::grpc_entry_stream(grpc_entry_reactor* reactor) : reactor(reactor) {}

void grpc_entry_stream::start_read()
{
    this->is_reading = true;
    this->reactor->StartRead(&this->incoming);
}

void grpc_entry_stream::send(const protocol::agent_message& message)
{
    if (this->reactor == nullptr || this->is_closing) {
        return;
    }
    const bool may_replace =
        !this->queue.empty() && !must_be_delivered(this->queue.back()) && !must_be_delivered(message);
    if (may_replace) {
        this->queue.back() = message;
    } else {
        this->queue.push_back(message);
    }
    this->start_next_write();
}

void grpc_entry_stream::start_next_write()
{
    if (this->is_writing || this->reactor == nullptr) {
        return;
    }
    if (this->queue.empty()) {
        if (this->is_closing) {
            this->end_call();
        }
        return;
    }
    this->in_flight = std::move(this->queue.front());
    this->queue.pop_front();
    this->is_writing = true;
    this->reactor->StartWrite(&this->in_flight);
}

void grpc_entry_stream::on_write_done(bool succeeded)
{
    this->is_writing = false;
    if (!succeeded) {
        this->queue.clear();
        this->is_closing = true;
    }
    this->start_next_write();
}

void grpc_entry_stream::on_read_done(bool succeeded)
{
    this->is_reading = false;
    if (!succeeded) {
        this->close();
        return;
    }
    if (this->message_callback) {
        this->message_callback(this->incoming);
    }
    if (this->reactor != nullptr && !this->is_closing) {
        this->start_read();
    }
}

void grpc_entry_stream::close()
{
    this->is_closing = true;
    this->start_next_write();
}

void grpc_entry_stream::end_call()
{
    auto* const ended = this->reactor;
    this->reactor = nullptr;
    ended->Finish(grpc::Status::OK);
    const auto callback = std::move(this->closed_callback);
    this->closed_callback = nullptr;
    this->message_callback = nullptr;
    if (callback) {
        callback();
    }
}

void grpc_entry_stream::on_message(std::function<void(const protocol::entry_message&)> callback)
{
    this->message_callback = std::move(callback);
}

void grpc_entry_stream::on_closed(std::function<void()> callback)
{
    this->closed_callback = std::move(callback);
}

grpc_entry_reactor::grpc_entry_reactor(event_loop& loop)
    : loop(loop), loop_stream(std::make_shared<grpc_entry_stream>(this))
{
}

std::shared_ptr<grpc_entry_stream> grpc_entry_reactor::stream() const
{
    return this->loop_stream;
}

void grpc_entry_reactor::OnReadDone(bool succeeded)
{
    this->loop.post([loop_stream = this->loop_stream, succeeded] { loop_stream->on_read_done(succeeded); });
}

void grpc_entry_reactor::OnWriteDone(bool succeeded)
{
    this->loop.post([loop_stream = this->loop_stream, succeeded] { loop_stream->on_write_done(succeeded); });
}

void grpc_entry_reactor::OnCancel()
{
    this->loop.post([loop_stream = this->loop_stream] { loop_stream->close(); });
}

void grpc_entry_reactor::OnDone()
{
    delete this; // NOLINT(*-owning-memory)
}

} // namespace tanager
