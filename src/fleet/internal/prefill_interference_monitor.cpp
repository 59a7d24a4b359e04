#include "fleet/prefill_interference_monitor.h"

#include <algorithm>
#include <cmath>

namespace tanager {

namespace {

// Weight of the newest pause in the share of late ones: about the last two hundred count, some seconds of
// what a gateway sees.
constexpr double newest_late_gap_weight = 0.005;
// A long answer has about a hundred pauses and is late by one, so above this share most are late.
constexpr double max_late_gap_ratio = 0.0125;
// A pause that is longer than its objective by less than this factor may be the network's.
constexpr double late_objective_ratio = 1.1;
// An answer that is not whole after this part of its time may not become so.
constexpr double max_used_timeout_ratio = 0.8;
// Half of the share is forgotten in this time without new pauses.
constexpr std::chrono::seconds late_gap_half_life{10};
// Long outputs are spared for this long after the last sign, then reading beside them is tried again.
constexpr std::chrono::seconds isolation_time{30};
// Weight of the newest pause in an engine's mean: about the last twenty count.
constexpr double newest_mean_gap_weight = 0.05;
// Pauses beyond this many objectives say no more than that they were too long.
constexpr double max_objective_ratio = 3;
// An engine whose mean pause takes more than this part of the objective is slow.
constexpr double slow_objective_ratio = 0.5;
// A slow engine is mostly slow for some seconds.
constexpr std::chrono::seconds mean_gap_half_life{5};

} // namespace

prefill_interference_monitor::prefill_interference_monitor(const clock& time) : time(time) {}

double prefill_interference_monitor::decayed_value(const decaying_average& average,
                                                   std::chrono::duration<double> half_life) const
{
    const std::chrono::duration<double> age = this->time.now() - average.updated_at;
    return average.value * std::exp2(-age / half_life);
}

void prefill_interference_monitor::record(const event_gap& gap)
{
    const auto now = this->time.now();
    auto& mean = this->mean_gap_ratios[gap.server];
    const double previous_mean = this->decayed_value(mean, mean_gap_half_life);
    const double bounded_ratio = std::min(gap.objective_ratio, max_objective_ratio);
    mean = {previous_mean + newest_mean_gap_weight * (bounded_ratio - previous_mean), now};
    if (!gap.is_during_prefill || this->is_slow(gap.server)) {
        return;
    }
    auto& late_ratio = this->late_gap_ratios[gap.service];
    const double previous_ratio = this->decayed_value(late_ratio, late_gap_half_life);
    const double is_late = gap.objective_ratio > late_objective_ratio ? 1 : 0;
    late_ratio = {previous_ratio + newest_late_gap_weight * (is_late - previous_ratio), now};
    if (late_ratio.value > max_late_gap_ratio || gap.used_timeout_ratio > max_used_timeout_ratio) {
        this->isolated_until[gap.service] = now + isolation_time;
    }
}

bool prefill_interference_monitor::should_isolate_long_outputs(const std::string& service) const
{
    const auto found = this->isolated_until.find(service);
    return found != this->isolated_until.end() && this->time.now() < found->second;
}

bool prefill_interference_monitor::is_slow(const std::string& server) const
{
    const auto found = this->mean_gap_ratios.find(server);
    return found != this->mean_gap_ratios.end() &&
           this->decayed_value(found->second, mean_gap_half_life) > slow_objective_ratio;
}

bool prefill_interference_monitor::has_event_since(const std::string& server, time_point moment) const
{
    const auto found = this->mean_gap_ratios.find(server);
    return found != this->mean_gap_ratios.end() && found->second.updated_at > moment;
}

void prefill_interference_monitor::keep_only(const std::set<std::string>& listed)
{
    std::erase_if(this->mean_gap_ratios, [&](const auto& entry) { return !listed.contains(entry.first); });
}

} // namespace tanager
