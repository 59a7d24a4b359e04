#pragma once

#include "agent/answer_stream.h"
#include "agent/entry_stream.h"
#include "base/types/result.h"
#include "net/event_loop.h"

#include <functional>
#include <memory>
#include <string>
#include <tanager.pb.h>

namespace tanager {

// Handlers of the RPCs, called on the event loop's thread.
struct agent_server_handlers {
    std::function<void(std::shared_ptr<const protocol::dispatch_request>, std::shared_ptr<answer_stream>)>
        dispatch;
    std::function<protocol::settle_reply(const protocol::settle_request&)> settle;
    std::function<void(std::shared_ptr<entry_stream>)> on_control_stream;
};

// Serves the RPCs that entries call on an agent.
class grpc_agent_server {
public:
    // Listens on `address` (ip:port) without SO_REUSEPORT. Fails with listen_failed, or with address_invalid
    // for a malformed address.
    static result<std::unique_ptr<grpc_agent_server>>
    create(event_loop& loop, const std::string& address, agent_server_handlers handlers);

    grpc_agent_server() = default;
    grpc_agent_server(const grpc_agent_server&) = delete;
    grpc_agent_server& operator=(const grpc_agent_server&) = delete;
    grpc_agent_server(grpc_agent_server&&) = delete;
    grpc_agent_server& operator=(grpc_agent_server&&) = delete;
    virtual ~grpc_agent_server() = default;

    // Returns the address that the server listens on, with the port that was actually bound.
    virtual std::string address() const = 0;

    // Refuses every new RPC with UNAVAILABLE, so that the server can be destroyed once the open ones have
    // ended.
    virtual void refuse_new_calls() = 0;
};

} // namespace tanager
