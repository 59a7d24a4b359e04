#pragma once

#include <cstdint>
#include <string>

namespace tanager {

// One agent as an entry sees it, with its own dispatches since the last report already taken off.
struct routing_candidate {
    std::string host;
    bool takes_work = false; // live, ready, neither leaving nor draining
    bool same_data_centre = false;
    std::uint32_t free_pieces = 0;        // of the backend server
    std::uint32_t free_member_pieces = 0; // of the member's share there
    std::uint32_t member_share = 0;
    std::uint32_t queued = 0; // requests waiting, dispatched ones not yet reported included

    friend bool operator==(const routing_candidate&, const routing_candidate&) = default;
};

// What is to be routed.
struct routing_request {
    std::uint64_t prefix_hash = 0; // of the prompt's first blocks; 0 for no affinity
    std::uint32_t pieces = 1;

    friend bool operator==(const routing_request&, const routing_request&) = default;
};

} // namespace tanager
