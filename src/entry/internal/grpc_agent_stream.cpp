#include "entry/internal/grpc_agent_stream.h"

#include <grpcpp/grpcpp.h>

namespace tanager {

// gRPC's side: hands every notice to the loop and frees itself at the end.
class grpc_exchange_reactor final
    : public grpc::ClientBidiReactor<protocol::entry_message, protocol::agent_message> {
public:
    grpc_exchange_reactor(event_loop& loop, std::shared_ptr<grpc_exchange_call> core)
        : loop(loop), core(std::move(core))
    {
    }

    void start(protocol::agent_service::Stub& stub)
    {
        stub.async()->exchange(&this->context, this);
        this->AddHold();
        this->StartCall();
    }

    void give_up()
    {
        this->context.TryCancel();
    }

    void OnReadDone(bool succeeded) override
    {
        this->loop.post([kept = this->core, succeeded] { kept->note_read(succeeded); });
    }

    void OnWriteDone(bool succeeded) override
    {
        this->loop.post([kept = this->core, succeeded] { kept->note_written(succeeded); });
    }

    void OnDone(const grpc::Status& /*status*/) override
    {
        delete this; // NOLINT(*-owning-memory)
    }

private:
    event_loop& loop;
    std::shared_ptr<grpc_exchange_call> core;
    grpc::ClientContext context;
};

grpc_exchange_call::grpc_exchange_call(message_callback on_message, std::function<void()> on_closed)
    : message_notice(std::move(on_message)), closed_notice(std::move(on_closed))
{
}

void grpc_exchange_call::start(event_loop& loop, protocol::agent_service::Stub& stub)
{
    // gRPC frees the reactor through its OnDone.
    this->reactor = new grpc_exchange_reactor(loop, this->shared_from_this()); // NOLINT(*-owning-memory)
    this->reactor->start(stub);
    this->start_read();
}

void grpc_exchange_call::start_read()
{
    this->is_reading = true;
    this->reactor->StartRead(&this->incoming);
}

void grpc_exchange_call::send(const protocol::entry_message& message)
{
    if (this->is_over) {
        return;
    }
    this->queue.push_back(message);
    this->start_write();
}

void grpc_exchange_call::start_write()
{
    if (this->is_writing || this->queue.empty() || this->reactor == nullptr) {
        return;
    }
    this->in_flight = std::move(this->queue.front());
    this->queue.pop_front();
    this->is_writing = true;
    this->reactor->StartWrite(&this->in_flight);
}

void grpc_exchange_call::note_written(bool succeeded)
{
    this->is_writing = false;
    if (this->is_over) {
        this->let_go_if_idle();
        return;
    }
    if (succeeded) {
        this->start_write();
    }
}

void grpc_exchange_call::note_read(bool succeeded)
{
    this->is_reading = false;
    if (succeeded && !this->is_over) {
        this->message_notice(this->incoming);
    }
    if (succeeded && !this->is_over) {
        this->start_read();
        return;
    }
    this->is_over = true;
    this->let_go_if_idle();
    const auto notice = std::exchange(this->closed_notice, nullptr);
    if (notice) {
        notice();
    }
}

void grpc_exchange_call::close()
{
    this->closed_notice = nullptr;
    this->is_over = true;
    if (this->reactor != nullptr) {
        this->reactor->give_up();
        this->let_go_if_idle();
    }
}

void grpc_exchange_call::let_go_if_idle()
{
    if (this->reactor == nullptr || this->is_reading || this->is_writing) {
        return;
    }
    auto* const released = this->reactor;
    this->reactor = nullptr;
    released->RemoveHold();
}

} // namespace tanager
