#pragma once

#include <cstdint>
#include <string>

namespace tanager {

// One agent as an entry sees it, with its own dispatches since the last report already taken off.
struct agent_candidate {
    std::string host;
    bool takes_work = false; // live, ready, neither leaving nor draining
    bool is_same_data_centre = false;
    std::uint32_t free_pieces = 0;        // of the backend server
    std::uint32_t free_member_pieces = 0; // of the member's share there
    std::uint32_t member_share = 0;
    std::uint32_t queued_requests = 0; // requests waiting, dispatched ones not yet reported included

    friend bool operator==(const agent_candidate&, const agent_candidate&) = default;
};

// What is to be routed.
struct agent_selection_request {
    std::uint64_t prefix_hash = 0; // of the prompt's first blocks; 0 for no affinity
    std::uint32_t pieces = 1;

    friend bool operator==(const agent_selection_request&, const agent_selection_request&) = default;
};

} // namespace tanager
