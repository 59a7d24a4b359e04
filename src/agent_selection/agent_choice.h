// Chooses the agent to which an entry dispatches an attempt.
#pragma once

#include "agent_selection/types/agent_candidate.h"
#include "base/random_source.h"
#include "base/types/result.h"

#include <string>
#include <vector>

namespace tanager {

// Among the agents with enough free capacity, compares the two that rendezvous hashing on the prompt's prefix
// prefers with the better of two random ones; returns the host of the agent with the shortest expected wait,
// less a bonus for the preferred ones. When no agent has enough free capacity, returns the one with the
// shortest expected wait, since waiting in its queue takes less time than a refusal and a retry would.
//
// `tried` holds the hosts of earlier attempts of this request; they are not chosen again. Fails with
// request_too_large_for_pool when the request exceeds the member's share on every agent that takes work and
// `tried` is empty, else with no_agent_available when no agent can be chosen.
result<std::string> choose_agent(const agent_selection_request& request,
                                 const std::vector<agent_candidate>& candidates,
                                 const std::vector<std::string>& tried,
                                 random_source& random);

} // namespace tanager
