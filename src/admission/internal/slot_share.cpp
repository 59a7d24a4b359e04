#include "admission/slot_share.h"

#include <algorithm>
#include <cmath>

namespace tanager {

bool may_take_slot(const slot_usage& use)
{
    const double asked = use.local_arrivals + use.peer_arrivals;
    if (asked <= 0) {
        return true;
    }
    const double share = use.total_slots * (use.local_arrivals / asked);
    if (use.local_running < std::max(1.0, std::round(share))) {
        return true;
    }
    const double seen_free = static_cast<double>(use.total_slots) - use.local_running - use.peer_running;
    const double filled_unseen =
        use.peer_arrivals * std::chrono::duration<double>(use.peer_report_age).count();
    return seen_free > filled_unseen;
}

} // namespace tanager
