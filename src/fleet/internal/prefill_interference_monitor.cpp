#include "fleet/prefill_interference_monitor.h"

#include <algorithm>
#include <cmath>

namespace tanager {

namespace {

// Weight of the newest pause in the share of late ones: about the last two hundred count, some seconds of
// what a gateway sees.
constexpr double newest_late_weight = 0.005;
// A long answer has about a hundred pauses and is late by one, so above this share most are late.
constexpr double tolerable_late_share = 0.0125;
// A pause that is longer than its objective by less than this factor may be the network's.
constexpr double clearly_late = 1.1;
// An answer that is not whole after this part of its time may not become so.
constexpr double tight_share = 0.8;
// Half of the share is forgotten in this time without new pauses.
constexpr std::chrono::seconds late_half_life{10};
// Long outputs are spared for this long after the last sign, then reading beside them is tried again.
constexpr std::chrono::seconds spared_for{30};
// Weight of the newest pause in an engine's mean: about the last twenty count.
constexpr double newest_mean_weight = 0.05;
// Pauses beyond this many objectives say no more than that they were too long.
constexpr double largest_share = 3;
// An engine whose mean pause takes more than this part of the objective is slow.
constexpr double slow_share = 0.5;
// A slow engine is mostly slow for some seconds.
constexpr std::chrono::seconds mean_half_life{5};

} // namespace

prefill_interference_monitor::prefill_interference_monitor(const clock& time) : time(time) {}

double prefill_interference_monitor::faded(const fading_average& row,
                                           std::chrono::duration<double> half_life) const
{
    const std::chrono::duration<double> age = this->time.now() - row.since;
    return row.value * std::exp2(-age / half_life);
}

void prefill_interference_monitor::record(const event_gap& pause)
{
    const auto now = this->time.now();
    auto& mean = this->mean_pauses[pause.server];
    const double standing = this->faded(mean, mean_half_life);
    const double seen = std::min(pause.objective_ratio, largest_share);
    mean = {standing + newest_mean_weight * (seen - standing), now};
    if (!pause.is_during_prefill || this->is_slow(pause.server)) {
        return;
    }
    auto& late = this->late_shares[pause.service];
    const double late_so_far = this->faded(late, late_half_life);
    const double is_late = pause.objective_ratio > clearly_late ? 1 : 0;
    late = {late_so_far + newest_late_weight * (is_late - late_so_far), now};
    if (late.value > tolerable_late_share || pause.used_timeout_ratio > tight_share) {
        this->spared_until[pause.service] = now + spared_for;
    }
}

bool prefill_interference_monitor::should_isolate_long_outputs(const std::string& service) const
{
    const auto found = this->spared_until.find(service);
    return found != this->spared_until.end() && this->time.now() < found->second;
}

bool prefill_interference_monitor::is_slow(const std::string& server) const
{
    const auto found = this->mean_pauses.find(server);
    return found != this->mean_pauses.end() && this->faded(found->second, mean_half_life) > slow_share;
}

bool prefill_interference_monitor::has_event_since(const std::string& server, time_point moment) const
{
    const auto found = this->mean_pauses.find(server);
    return found != this->mean_pauses.end() && found->second.since > moment;
}

void prefill_interference_monitor::keep_only(const std::set<std::string>& listed)
{
    std::erase_if(this->mean_pauses, [&](const auto& row) { return !listed.contains(row.first); });
}

} // namespace tanager
