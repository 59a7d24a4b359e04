#include "admission/slot_share.h"

#include <algorithm>
#include <cmath>

namespace tanager {

bool may_take_slot(const slot_usage& usage)
{
    const double arrivals = usage.local_arrivals + usage.peer_arrivals;
    if (arrivals <= 0) {
        return true;
    }
    const double share = usage.total_slots * (usage.local_arrivals / arrivals);
    if (usage.local_running < std::max(1.0, std::round(share))) {
        return true;
    }
    const double reported_free =
        static_cast<double>(usage.total_slots) - usage.local_running - usage.peer_running;
    const double taken_since_report =
        usage.peer_arrivals * std::chrono::duration<double>(usage.peer_report_age).count();
    return reported_free > taken_since_report;
}

} // namespace tanager
