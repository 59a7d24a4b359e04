// The way from an entry to the agents.
#pragma once

#include "protocol/types/attempt_id.h"

#include <functional>
#include <memory>
#include <string>
#include <tanager.pb.h>

namespace tanager {

// Hears of one dispatched attempt.
class response_listener {
public:
    response_listener() = default;
    response_listener(const response_listener&) = delete;
    response_listener& operator=(const response_listener&) = delete;
    response_listener(response_listener&&) = delete;
    response_listener& operator=(response_listener&&) = delete;
    virtual ~response_listener() = default;

    // One frame; the next one comes after `read_next`.
    virtual void on_frame(const protocol::answer_frame& frame) = 0;

    // No frame follows: the agent has finished, or the connection broke.
    virtual void on_connection_closed() = 0;
};

// One dispatched attempt.
class attempt_call {
public:
    attempt_call() = default;
    attempt_call(const attempt_call&) = delete;
    attempt_call& operator=(const attempt_call&) = delete;
    attempt_call(attempt_call&&) = delete;
    attempt_call& operator=(attempt_call&&) = delete;
    virtual ~attempt_call() = default;

    virtual void read_next() = 0;

    // Gives the attempt up; the listener hears nothing more.
    virtual void cancel() = 0;
};

// What an agent said of an attempt whose call broke off.
enum class attempt_resolution {
    not_run,      // it never reached the backend server and never will
    may_have_run, // it did, or the agent cannot tell
    unreachable   // no answer came
};

class agent_client {
public:
    agent_client() = default;
    agent_client(const agent_client&) = delete;
    agent_client& operator=(const agent_client&) = delete;
    agent_client(agent_client&&) = delete;
    agent_client& operator=(agent_client&&) = delete;
    virtual ~agent_client() = default;

    // Dispatches an attempt and asks for its first frame.
    virtual std::shared_ptr<attempt_call> dispatch(const std::string& address,
                                                   const protocol::dispatch_request& request,
                                                   std::shared_ptr<response_listener> listener) = 0;

    // Asks an agent process to forbid an attempt.
    virtual void resolve_attempt(const std::string& address,
                                 const attempt_id& attempt,
                                 std::uint64_t agent_incarnation,
                                 std::function<void(attempt_resolution)> callback) = 0;
};

} // namespace tanager
