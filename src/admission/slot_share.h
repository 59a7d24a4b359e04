// Limits how many slots of a service one gateway may take.
#pragma once

#include "base/clock.h"

#include <cstdint>

namespace tanager {

// The slots and arrivals of a service as one gateway sees them.
struct slot_usage {
    std::uint32_t total_slots = 0;    // of all servers that accept requests
    std::uint32_t local_running = 0;  // requests of this gateway
    std::uint32_t peer_running = 0;   // requests of the peers, as last reported
    std::uint32_t local_arrivals = 0; // requests at this gateway within the last second
    std::uint32_t peer_arrivals = 0;  // requests at the peers within a second, as last reported
    duration peer_report_age{0};      // age of the peers' reports

    friend bool operator==(const slot_usage&, const slot_usage&) = default;
};

// Returns whether this gateway may take one more slot. Load pattern: a burst at many gateways at once. Each
// sees the slots that its peers take with a delay, so that together they would take far more than there are,
// and every request would wait on its server. Each gateway may therefore take a share in proportion to its
// arrivals, which change slowly and are nearly the same in the view of all gateways. It exceeds its share
// only while more slots are free than the peers can have taken since their last reports.
bool may_take_slot(const slot_usage& usage);

} // namespace tanager
