#include "agent/internal/grpc_agent_server.h"

#include "agent/internal/grpc_answer_stream.h"
#include "agent/internal/grpc_entry_stream.h"
#include "net/types/http_types.h"

#include <atomic>
#include <grpcpp/grpcpp.h>

namespace tanager {

namespace {

constexpr int keepalive_time_ms = 10'000;
constexpr int keepalive_timeout_ms = 5'000;
constexpr int max_message_bytes = 16 * 1024 * 1024;
constexpr std::chrono::milliseconds shutdown_grace_period{500};

class callback_service final : public protocol::agent_service::CallbackService {
public:
    callback_service(event_loop& loop, agent_server_handlers handlers)
        : loop(loop), handlers(std::move(handlers))
    {
    }

    // Each reactor deletes itself in OnDone, which gRPC calls last.
    grpc::ServerWriteReactor<protocol::answer_frame>*
    dispatch(grpc::CallbackServerContext* /*context*/, const protocol::dispatch_request* request) override
    {
        auto* const reactor = new grpc_answer_reactor(this->loop); // NOLINT(*-owning-memory)
        if (this->is_refusing) {
            reactor->Finish(grpc::Status{grpc::StatusCode::UNAVAILABLE, "stopping"});
            return reactor;
        }
        const auto copy = std::make_shared<const protocol::dispatch_request>(*request);
        this->loop.post([this, copy, stream = reactor->stream()] { this->handlers.dispatch(copy, stream); });
        return reactor;
    }

    grpc::ServerUnaryReactor* settle(grpc::CallbackServerContext* context,
                                     const protocol::settle_request* request,
                                     protocol::settle_reply* reply) override
    {
        auto* const reactor = context->DefaultReactor();
        if (this->is_refusing) {
            reactor->Finish(grpc::Status{grpc::StatusCode::UNAVAILABLE, "stopping"});
            return reactor;
        }
        this->loop.post([this, request, reply, reactor] {
            *reply = this->handlers.settle(*request);
            reactor->Finish(grpc::Status::OK);
        });
        return reactor;
    }

    grpc::ServerBidiReactor<protocol::entry_message, protocol::agent_message>*
    exchange(grpc::CallbackServerContext* /*context*/) override
    {
        auto* const reactor = new grpc_entry_reactor(this->loop); // NOLINT(*-owning-memory)
        if (this->is_refusing) {
            reactor->Finish(grpc::Status{grpc::StatusCode::UNAVAILABLE, "stopping"});
            return reactor;
        }
        this->loop.post([this, stream = reactor->stream()] {
            this->handlers.on_control_stream(stream);
            stream->start_read();
        });
        return reactor;
    }

    void refuse_new_calls()
    {
        this->is_refusing = true;
    }

private:
    event_loop& loop;
    agent_server_handlers handlers;
    std::atomic<bool> is_refusing = false;
};

class callback_agent_server final : public grpc_agent_server {
public:
    callback_agent_server(event_loop& loop, agent_server_handlers handlers)
        : service(loop, std::move(handlers))
    {
    }

    ~callback_agent_server() override
    {
        if (this->server != nullptr) {
            this->server->Shutdown(std::chrono::system_clock::now() + shutdown_grace_period);
        }
    }

    callback_agent_server(const callback_agent_server&) = delete;
    callback_agent_server& operator=(const callback_agent_server&) = delete;
    callback_agent_server(callback_agent_server&&) = delete;
    callback_agent_server& operator=(callback_agent_server&&) = delete;

    result<void> listen(const std::string& listen_address)
    {
        const auto parsed = parse_address(listen_address);
        if (!parsed) {
            return tl::make_unexpected(parsed.error());
        }
        int port = 0;
        grpc::ServerBuilder builder;
        builder.AddListeningPort(listen_address, grpc::InsecureServerCredentials(), &port);
        // Port sharing is off, because two agents of one host must never serve at the same time.
        builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
        builder.AddChannelArgument(GRPC_ARG_KEEPALIVE_TIME_MS, keepalive_time_ms);
        builder.AddChannelArgument(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, keepalive_timeout_ms);
        builder.AddChannelArgument(GRPC_ARG_HTTP2_MIN_RECV_PING_INTERVAL_WITHOUT_DATA_MS,
                                   keepalive_timeout_ms);
        builder.SetMaxReceiveMessageSize(max_message_bytes);
        builder.RegisterService(&this->service);
        this->server = builder.BuildAndStart();
        if (this->server == nullptr || port == 0) {
            return fail(result_code::listen_failed, "cannot listen on " + listen_address);
        }
        this->bound_address = {parsed->host, static_cast<std::uint16_t>(port)};
        return {};
    }

    std::string address() const override
    {
        return to_text(this->bound_address);
    }

    void refuse_new_calls() override
    {
        this->service.refuse_new_calls();
    }

private:
    callback_service service;
    std::unique_ptr<grpc::Server> server;
    socket_address bound_address;
};

} // namespace

result<std::unique_ptr<grpc_agent_server>>
grpc_agent_server::create(event_loop& loop, const std::string& address, agent_server_handlers handlers)
{
    auto server = std::make_unique<callback_agent_server>(loop, std::move(handlers));
    const auto listening = server->listen(address);
    if (!listening) {
        return tl::make_unexpected(listening.error());
    }
    return server;
}

} // namespace tanager
