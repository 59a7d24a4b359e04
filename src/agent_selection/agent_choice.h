// Chooses the agent for one attempt.
#pragma once

#include "agent_selection/types/agent_candidate.h"
#include "base/random_source.h"
#include "base/types/result.h"

#include <string>
#include <vector>

namespace tanager {

// Prefers, among the agents with room, the two that rendezvous hashing gives for the prompt's prefix and one
// at random; of these, takes the one that should start first. When none has room, takes the one with the
// shortest queue, since it waits there for less time than a refusal and a resend would take.
//
// `tried` holds hosts that have refused this request. Fails with no_agent_available when no agent takes work,
// and with request_too_large_for_pool when no share can ever hold the request.
result<std::string> choose_agent(const agent_selection_request& request,
                                 const std::vector<agent_candidate>& candidates,
                                 const std::vector<std::string>& tried,
                                 random_source& random);

} // namespace tanager
