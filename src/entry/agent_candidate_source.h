// Supplies the agents that a request can be dispatched to.
#pragma once

#include "agent_selection/types/agent_candidate.h"
#include "catalogue/types/catalogue_entry.h"

#include <cstdint>
#include <string>
#include <vector>

namespace tanager {

// The agent process that an attempt is dispatched to.
struct agent_target {
    std::string host;
    std::string address; // ip:port
    std::uint64_t incarnation = 0;

    friend bool operator==(const agent_target&, const agent_target&) = default;
};

// Load and state of the agents as this entry last saw them.
class agent_candidate_source {
public:
    agent_candidate_source() = default;
    agent_candidate_source(const agent_candidate_source&) = delete;
    agent_candidate_source& operator=(const agent_candidate_source&) = delete;
    agent_candidate_source(agent_candidate_source&&) = delete;
    agent_candidate_source& operator=(agent_candidate_source&&) = delete;
    virtual ~agent_candidate_source() = default;

    // Returns one candidate per agent of the pool, with the capacity that is free for the member.
    virtual std::vector<agent_candidate> candidates(const pool_entry& pool,
                                                    const member_entry& member) const = 0;

    // Returns the target for a host; empty when the pool does not list the host.
    virtual agent_target target_of(const pool_entry& pool, const std::string& host) const = 0;

    // Correct the host's last load report by the attempts that this entry has dispatched and that have ended
    // since.
    virtual void add_load(const std::string& host, const std::string& member, std::uint32_t pieces) = 0;
    virtual void remove_load(const std::string& host, const std::string& member, std::uint32_t pieces) = 0;

    // Returns the incarnation of the agent process that runs on the host; 0 when unknown.
    virtual std::uint64_t incarnation_of(const std::string& host) const = 0;
};

} // namespace tanager
