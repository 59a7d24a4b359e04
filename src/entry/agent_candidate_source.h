// What a request needs to know of the agents.
#pragma once

#include "agent_selection/types/agent_candidate.h"
#include "catalogue/types/catalogue_entry.h"

#include <cstdint>
#include <string>
#include <vector>

namespace tanager {

// Where an attempt is sent.
struct agent_target {
    std::string host;
    std::string address;
    std::uint64_t incarnation = 0;

    friend bool operator==(const agent_target&, const agent_target&) = default;
};

class agent_candidate_source {
public:
    agent_candidate_source() = default;
    agent_candidate_source(const agent_candidate_source&) = delete;
    agent_candidate_source& operator=(const agent_candidate_source&) = delete;
    agent_candidate_source(agent_candidate_source&&) = delete;
    agent_candidate_source& operator=(agent_candidate_source&&) = delete;
    virtual ~agent_candidate_source() = default;

    // Returns the agents of a pool as routing sees them.
    virtual std::vector<agent_candidate> candidates(const pool_entry& pool,
                                                    const member_entry& member) const = 0;

    virtual agent_target target_of(const pool_entry& pool, const std::string& host) const = 0;

    // Correct the last report for what this entry has sent since.
    virtual void add_load(const std::string& host, const std::string& member, std::uint32_t pieces) = 0;
    virtual void remove_load(const std::string& host, const std::string& member, std::uint32_t pieces) = 0;

    // Returns the process that serves as this host's agent now; 0 when unknown.
    virtual std::uint64_t incarnation_of(const std::string& host) const = 0;
};

} // namespace tanager
