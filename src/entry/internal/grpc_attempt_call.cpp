#include "entry/internal/grpc_attempt_call.h"

#include <grpcpp/grpcpp.h>

namespace tanager {

// Receives gRPC's completions, posts them to the loop, and deletes itself when the call is done.
class grpc_attempt_reactor final : public grpc::ClientReadReactor<protocol::answer_frame> {
public:
    grpc_attempt_reactor(event_loop& loop,
                         std::shared_ptr<grpc_attempt_call> call,
                         protocol::dispatch_request request)
        : loop(loop), call(std::move(call)), request(std::move(request))
    {
    }

    void start(protocol::agent_service::Stub& stub)
    {
        stub.async()->dispatch(&this->context, &this->request, this);
        this->AddHold();
        this->StartCall();
    }

    void cancel()
    {
        this->context.TryCancel();
    }

    void OnReadDone(bool succeeded) override
    {
        this->loop.post([call = this->call, succeeded] { call->on_read_done(succeeded); });
    }

    void OnDone(const grpc::Status& /*status*/) override
    {
        delete this; // NOLINT(*-owning-memory)
    }

private:
    event_loop& loop;
    std::shared_ptr<grpc_attempt_call> call;
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
    // The reactor deletes itself in OnDone.
    auto* const new_reactor =
        new grpc_attempt_reactor(loop, this->shared_from_this(), request); // NOLINT(*-owning-memory)
    this->reactor = new_reactor;
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
    const auto current_listener = this->listener;
    if (current_listener == nullptr || !succeeded) {
        this->release_hold();
    }
    if (current_listener == nullptr) {
        return;
    }
    if (succeeded) {
        current_listener->on_frame(this->frame);
    } else {
        this->listener.reset();
        current_listener->on_connection_closed();
    }
}

void grpc_attempt_call::cancel()
{
    this->listener.reset();
    if (this->reactor == nullptr) {
        return;
    }
    this->reactor->cancel();
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
