#include "entry/internal/grpc_agent_client.h"

#include "entry/internal/grpc_attempt_call.h"

#include <grpcpp/grpcpp.h>

namespace tanager {

namespace {

constexpr int keepalive_time_ms = 10'000;
constexpr int keepalive_timeout_ms = 5'000;
constexpr int min_reconnect_backoff_ms = 100;
constexpr int max_reconnect_backoff_ms = 1'000;
constexpr int max_message_bytes = 16 * 1024 * 1024;
constexpr std::chrono::milliseconds resolve_timeout{500};

grpc::ChannelArguments channel_arguments()
{
    grpc::ChannelArguments arguments;
    arguments.SetInt(GRPC_ARG_KEEPALIVE_TIME_MS, keepalive_time_ms);
    arguments.SetInt(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, keepalive_timeout_ms);
    arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, min_reconnect_backoff_ms);
    arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, min_reconnect_backoff_ms);
    arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, max_reconnect_backoff_ms);
    arguments.SetInt(GRPC_ARG_MAX_RECEIVE_MESSAGE_LENGTH, max_message_bytes);
    // The transport must not retry: the entry decides whether an attempt is retried.
    arguments.SetInt(GRPC_ARG_ENABLE_RETRIES, 0);
    return arguments;
}

// State of one settle call; kept alive by its completion callback.
struct settle_call {
    grpc::ClientContext context;
    protocol::settle_request request;
    protocol::settle_reply reply;
};

attempt_resolution to_resolution(const grpc::Status& status, const protocol::settle_reply& reply)
{
    if (!status.ok()) {
        return attempt_resolution::unreachable;
    }
    return reply.not_run() ? attempt_resolution::not_run : attempt_resolution::may_have_run;
}

} // namespace

grpc_agent_client::grpc_agent_client(event_loop& loop) : loop(loop) {}

protocol::agent_service::Stub& grpc_agent_client::stub_of(const std::string& address)
{
    auto& stub = this->stubs[address];
    if (stub == nullptr) {
        const auto channel =
            grpc::CreateCustomChannel(address, grpc::InsecureChannelCredentials(), channel_arguments());
        stub = protocol::agent_service::NewStub(channel);
    }
    return *stub;
}

void grpc_agent_client::remove_channel(const std::string& address)
{
    this->stubs.erase(address);
}

std::shared_ptr<attempt_call> grpc_agent_client::dispatch(const std::string& address,
                                                          const protocol::dispatch_request& request,
                                                          std::shared_ptr<response_listener> listener)
{
    auto call = std::make_shared<grpc_attempt_call>(std::move(listener));
    call->start(this->loop, this->stub_of(address), request);
    return call;
}

void grpc_agent_client::resolve_attempt(const std::string& address,
                                        const attempt_id& attempt,
                                        std::uint64_t agent_incarnation,
                                        std::function<void(attempt_resolution)> callback)
{
    const auto call = std::make_shared<settle_call>();
    fill_message(attempt, *call->request.mutable_attempt());
    call->request.set_agent_incarnation(agent_incarnation);
    call->context.set_deadline(std::chrono::system_clock::now() + resolve_timeout);
    const auto on_status = [this, call, callback = std::move(callback)](const grpc::Status& status) {
        const auto outcome = to_resolution(status, call->reply);
        this->loop.post([callback, outcome] { callback(outcome); });
    };
    this->stub_of(address).async()->settle(&call->context, &call->request, &call->reply, on_status);
}

} // namespace tanager
