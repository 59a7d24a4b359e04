#pragma once

#include "agent_selection/types/agent_candidate.h"
#include "catalogue/types/catalogue_entry.h"

#include <cstdint>
#include <string>
#include <tanager.pb.h>
#include <unordered_map>

namespace tanager {

// The agents' last load reports, corrected by the attempts that this entry has dispatched since.
class agent_loads {
public:
    // Replaces the agent's last report. Earlier corrections are dropped because the new report accounts for
    // them.
    void apply_report(const protocol::agent_message& report);

    // Adds a dispatched attempt to the load of a host.
    void add_load(const std::string& host, const std::string& member, std::uint32_t pieces);
    // Removes an ended attempt, from the load dispatched since the last report or else from the reported
    // load.
    void remove_load(const std::string& host, const std::string& member, std::uint32_t pieces);

    // Returns an agent as a routing candidate. `takes_work` only states whether the agent reported itself
    // ready.
    agent_candidate
    make_candidate(const pool_entry& pool, const pool_agent& agent, const member_entry& member) const;

    // Returns whether the agent reported itself ready in its last report.
    bool is_ready(const std::string& host) const;

    // Return the number of hosts that have reported a catalogue, and the highest revision that they reported.
    std::size_t catalogue_host_count() const;
    std::uint64_t max_catalogue_revision() const;

private:
    struct agent_load {
        std::uint32_t capacity_pieces = 0;
        std::uint32_t used_pieces = 0;
        std::uint32_t queued_requests = 0;
        std::uint64_t catalogue_revision = 0;
        bool is_ready = false;
        std::unordered_map<std::string, std::uint32_t> used_pieces_by_member;
        std::uint32_t dispatched_pieces = 0;
        std::uint32_t dispatched_requests = 0;
        std::unordered_map<std::string, std::uint32_t> dispatched_pieces_by_member;
    };

    std::unordered_map<std::string, agent_load> loads;
};

} // namespace tanager
