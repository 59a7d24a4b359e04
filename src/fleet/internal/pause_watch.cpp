#include "fleet/pause_watch.h"

#include <algorithm>
#include <cmath>

namespace tanager {

namespace {

// Weight of the newest pause: about the last fifty count.
constexpr double newest_weight = 0.02;
// Pauses beyond this many objectives say no more than that they were too long.
constexpr double largest_share = 3;
// An average above this means that a good part of the pauses is too long.
constexpr double tolerable_average = 0.75;
// Half of the average is forgotten in this time without new pauses.
constexpr std::chrono::seconds half_life{30};

} // namespace

pause_watch::pause_watch(const clock& time) : time(time) {}

double pause_watch::faded(const service_row& row) const
{
    const std::chrono::duration<double> age = this->time.now() - row.since;
    return row.average * std::exp2(-age / std::chrono::duration<double>(half_life));
}

void pause_watch::record(const std::string& service, double share_of_objective)
{
    auto& row = this->services[service];
    const double standing = this->faded(row);
    row.average = standing + newest_weight * (std::min(share_of_objective, largest_share) - standing);
    row.since = this->time.now();
}

bool pause_watch::should_spare(const std::string& service) const
{
    const auto found = this->services.find(service);
    return found != this->services.end() && this->faded(found->second) > tolerable_average;
}

} // namespace tanager
