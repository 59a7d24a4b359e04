#include "entry/internal/grpc_attempt_call.h"

#include <grpcpp/grpcpp.h>

namespace tanager {

// gRPC's side: hands every notice to the loop and frees itself at the end.
class grpc_attempt_reactor final : public grpc::ClientReadReactor<protocol::answer_frame> {
public:
    grpc_attempt_reactor(event_loop& loop,
                         std::shared_ptr<grpc_attempt_call> core,
                         protocol::dispatch_request request)
        : loop(loop), core(std::move(core)), request(std::move(request))
    {
    }

    void start(protocol::agent_service::Stub& stub)
    {
        stub.async()->dispatch(&this->context, &this->request, this);
        this->AddHold();
        this->StartCall();
    }

    void give_up()
    {
        this->context.TryCancel();
    }

    void OnReadDone(bool succeeded) override
    {
        this->loop.post([kept = this->core, succeeded] { kept->on_read_done(succeeded); });
    }

    void OnDone(const grpc::Status& /*status*/) override
    {
        delete this; // NOLINT(*-owning-memory)
    }

private:
    event_loop& loop;
    std::shared_ptr<grpc_attempt_call> core;
    grpc::ClientContext context;
    protocol::dispatch_request request;
};

grpc_attempt_call::grpc_attempt_call(std::shared_ptr<response_listener> listener)
    : listener(std::move(listener))
{
}

void grpc_attempt_call::start(event_loop& loop,
                              protocol::agent_service::Stub& stub,
                              const protocol::dispatch_request& request)
{
    // gRPC frees the reactor through its OnDone.
    auto* const started =
        new grpc_attempt_reactor(loop, this->shared_from_this(), request); // NOLINT(*-owning-memory)
    this->reactor = started;
    this->reactor->start(stub);
    this->read_next();
}

void grpc_attempt_call::read_next()
{
    if (this->reactor == nullptr || this->is_reading) {
        return;
    }
    this->is_reading = true;
    this->reactor->StartRead(&this->frame);
}

void grpc_attempt_call::on_read_done(bool succeeded)
{
    this->is_reading = false;
    const auto hears = this->listener;
    if (hears == nullptr || !succeeded) {
        this->release_hold();
    }
    if (hears == nullptr) {
        return;
    }
    if (succeeded) {
        hears->on_frame(this->frame);
    } else {
        this->listener.reset();
        hears->on_connection_closed();
    }
}

void grpc_attempt_call::cancel()
{
    this->listener.reset();
    if (this->reactor == nullptr) {
        return;
    }
    this->reactor->give_up();
    if (!this->is_reading) {
        this->release_hold();
    }
}

void grpc_attempt_call::release_hold()
{
    if (this->reactor != nullptr) {
        auto* const released = this->reactor;
        this->reactor = nullptr;
        released->RemoveHold();
    }
}

} // namespace tanager
