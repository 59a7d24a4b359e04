// The agents among which an entry selects, and the request that they are selected for.
#pragma once

#include <cstdint>
#include <string>

namespace tanager {

// The state of one agent from its last report, less what this entry has dispatched to it since.
struct agent_candidate {
    std::string host;
    bool takes_work = false; // live and ready, neither leaving nor draining
    bool is_same_data_centre = false;
    std::uint32_t free_pieces = 0;        // of the backend server
    std::uint32_t free_member_pieces = 0; // of the member's share on this agent
    std::uint32_t member_share = 0;       // part of the member's cap that this agent admits, in pieces
    std::uint32_t queued_requests = 0;    // reported as waiting, plus dispatched since

    friend bool operator==(const agent_candidate&, const agent_candidate&) = default;
};

// The request for which an agent is selected.
struct agent_selection_request {
    std::uint64_t prefix_hash = 0; // of the prompt's first blocks; 0 for no affinity
    std::uint32_t pieces = 1;      // capacity that it needs; a piece is about 2,000 tokens

    friend bool operator==(const agent_selection_request&, const agent_selection_request&) = default;
};

} // namespace tanager
