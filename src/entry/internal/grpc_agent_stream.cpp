#include "entry/internal/grpc_agent_stream.h"

#include <grpcpp/grpcpp.h>

namespace tanager {

// Receives gRPC's completions, posts them to the loop, and deletes itself when the call is done.
class grpc_agent_stream_reactor final
    : public grpc::ClientBidiReactor<protocol::entry_message, protocol::agent_message> {
public:
    grpc_agent_stream_reactor(event_loop& loop, std::shared_ptr<grpc_agent_stream> stream)
        : loop(loop), stream(std::move(stream))
    {
    }

    void start(protocol::agent_service::Stub& stub)
    {
        stub.async()->exchange(&this->context, this);
        this->AddHold();
        this->StartCall();
    }

    void cancel()
    {
        this->context.TryCancel();
    }

    void OnReadDone(bool succeeded) override
    {
        this->loop.post([stream = this->stream, succeeded] { stream->on_read_done(succeeded); });
    }

    void OnWriteDone(bool succeeded) override
    {
        this->loop.post([stream = this->stream, succeeded] { stream->on_write_done(succeeded); });
    }

    void OnDone(const grpc::Status& /*status*/) override
    {
        delete this; // NOLINT(*-owning-memory)
    }

private:
    event_loop& loop;
    std::shared_ptr<grpc_agent_stream> stream;
    grpc::ClientContext context;
};

grpc_agent_stream::grpc_agent_stream(message_callback on_message, std::function<void()> on_closed)
    : on_message(std::move(on_message)), on_closed(std::move(on_closed))
{
}

void grpc_agent_stream::start(event_loop& loop, protocol::agent_service::Stub& stub)
{
    // The reactor deletes itself in OnDone.
    this->reactor = new grpc_agent_stream_reactor(loop, this->shared_from_this()); // NOLINT(*-owning-memory)
    this->reactor->start(stub);
    this->start_read();
}

void grpc_agent_stream::start_read()
{
    this->is_reading = true;
    this->reactor->StartRead(&this->incoming);
}

void grpc_agent_stream::send(const protocol::entry_message& message)
{
    if (this->is_closed) {
        return;
    }
    this->send_queue.push_back(message);
    this->start_write();
}

void grpc_agent_stream::start_write()
{
    if (this->is_writing || this->send_queue.empty() || this->reactor == nullptr) {
        return;
    }
    this->in_flight = std::move(this->send_queue.front());
    this->send_queue.pop_front();
    this->is_writing = true;
    this->reactor->StartWrite(&this->in_flight);
}

void grpc_agent_stream::on_write_done(bool succeeded)
{
    this->is_writing = false;
    if (this->is_closed) {
        this->release_hold_if_idle();
        return;
    }
    if (succeeded) {
        this->start_write();
    }
}

void grpc_agent_stream::on_read_done(bool succeeded)
{
    this->is_reading = false;
    if (succeeded && !this->is_closed) {
        this->on_message(this->incoming);
    }
    if (succeeded && !this->is_closed) {
        this->start_read();
        return;
    }
    this->is_closed = true;
    this->release_hold_if_idle();
    const auto callback = std::exchange(this->on_closed, nullptr);
    if (callback) {
        callback();
    }
}

void grpc_agent_stream::close()
{
    this->on_closed = nullptr;
    this->is_closed = true;
    if (this->reactor != nullptr) {
        this->reactor->cancel();
        this->release_hold_if_idle();
    }
}

void grpc_agent_stream::release_hold_if_idle()
{
    if (this->reactor == nullptr || this->is_reading || this->is_writing) {
        return;
    }
    auto* const released = this->reactor;
    this->reactor = nullptr;
    released->RemoveHold();
}

} // namespace tanager
