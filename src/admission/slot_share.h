// Decides how many places of a service one gateway may fill.
#pragma once

#include "base/clock.h"

#include <cstdint>

namespace tanager {

// What a gateway knows of the places of a service.
struct slot_usage {
    std::uint32_t total_slots = 0;    // of all servers that take work
    std::uint32_t local_running = 0;  // requests of this gateway
    std::uint32_t peer_running = 0;   // requests of the others, as they last said
    std::uint32_t local_arrivals = 0; // requests that came to this gateway in its last second
    std::uint32_t peer_arrivals = 0;  // requests that came to the others
    duration peer_report_age{0};      // of what the others said

    friend bool operator==(const slot_usage&, const slot_usage&) = default;
};

// Load pattern: a burst at many gateways at once. Each sees the places that the others have filled some time
// too late, so that together they would fill far more than there are, and every request would wait on its
// server. So each one may fill a share in proportion to the requests that came to it, a figure that moves
// slowly and that all know nearly alike. It goes beyond that only while more places are free than the others
// can have filled since they last said so.
bool may_take_slot(const slot_usage& usage);

} // namespace tanager
