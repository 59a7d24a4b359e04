#pragma once

#include "entry/agent_client.h"
#include "net/event_loop.h"

#include <map>
#include <memory>
#include <string>
#include <tanager.grpc.pb.h>

namespace tanager {

// Keeps one gRPC channel per agent, shared by its dispatch calls and its exchange stream.
class grpc_agent_client final : public agent_client {
public:
    explicit grpc_agent_client(event_loop& loop);

    std::shared_ptr<attempt_call> dispatch(const std::string& address,
                                           const protocol::dispatch_request& request,
                                           std::shared_ptr<response_listener> listener) override;
    void resolve_attempt(const std::string& address,
                         const attempt_id& attempt,
                         std::uint64_t agent_incarnation,
                         std::function<void(attempt_resolution)> callback) override;

    // Returns the stub of an agent; creates its channel on first use.
    protocol::agent_service::Stub& stub_of(const std::string& address);

    // Removes the channel of an agent that the catalogue no longer lists.
    void remove_channel(const std::string& address);

private:
    event_loop& loop;
    std::map<std::string, std::unique_ptr<protocol::agent_service::Stub>> stubs;
};

} // namespace tanager
