// The RPC interface from an entry to the agents.
#pragma once

#include "protocol/types/attempt_id.h"

#include <functional>
#include <memory>
#include <string>
#include <tanager.pb.h>

namespace tanager {

// Receives the answer of one dispatched attempt.
class response_listener {
public:
    response_listener() = default;
    response_listener(const response_listener&) = delete;
    response_listener& operator=(const response_listener&) = delete;
    response_listener(response_listener&&) = delete;
    response_listener& operator=(response_listener&&) = delete;
    virtual ~response_listener() = default;

    // Called for one frame; the next frame is delivered only after `read_next`.
    virtual void on_frame(const protocol::answer_frame& frame) = 0;

    // Called when no frame follows: the agent has ended the stream, or the connection broke.
    virtual void on_connection_closed() = 0;
};

// One dispatched attempt. Its frames go to the response_listener.
class attempt_call {
public:
    attempt_call() = default;
    attempt_call(const attempt_call&) = delete;
    attempt_call& operator=(const attempt_call&) = delete;
    attempt_call(attempt_call&&) = delete;
    attempt_call& operator=(attempt_call&&) = delete;
    virtual ~attempt_call() = default;

    // Requests the next frame.
    virtual void read_next() = 0;

    // Cancels the attempt; the listener is not called again.
    virtual void cancel() = 0;
};

// The outcome of resolving an attempt whose connection broke.
enum class attempt_resolution {
    not_run,      // the attempt did not reach the backend server and never will
    may_have_run, // the attempt reached the backend server, or the agent cannot determine that
    unreachable   // the agent did not respond
};

class agent_client {
public:
    agent_client() = default;
    agent_client(const agent_client&) = delete;
    agent_client& operator=(const agent_client&) = delete;
    agent_client(agent_client&&) = delete;
    agent_client& operator=(agent_client&&) = delete;
    virtual ~agent_client() = default;

    // Dispatches an attempt and requests its first frame.
    virtual std::shared_ptr<attempt_call> dispatch(const std::string& address,
                                                   const protocol::dispatch_request& request,
                                                   std::shared_ptr<response_listener> listener) = 0;

    // Resolves an attempt: the agent process reports whether the attempt has run and, if not, never runs it.
    virtual void resolve_attempt(const std::string& address,
                                 const attempt_id& attempt,
                                 std::uint64_t agent_incarnation,
                                 std::function<void(attempt_resolution)> callback) = 0;
};

} // namespace tanager
