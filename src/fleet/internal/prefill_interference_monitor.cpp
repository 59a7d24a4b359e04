#include "fleet/prefill_interference_monitor.h"

#include <algorithm>
#include <cmath>

namespace tanager {

namespace {

// Weight of the newest gap in the ratio of late gaps: about the last two hundred count, which a gateway sees
// within some seconds.
constexpr double newest_late_gap_weight = 0.005;
// A long output has about a hundred event gaps and misses its objective by a single late one, so above this
// ratio most long outputs miss it.
constexpr double max_late_gap_ratio = 0.0125;
// Gaps that exceed their objective by less than this factor may be due to the network and do not count as
// late.
constexpr double late_objective_ratio = 1.1;
// A response that is not complete after this part of its timeout may miss its deadline.
constexpr double max_used_timeout_ratio = 0.8;
// The ratio of late gaps halves in this time when no gaps are recorded.
constexpr std::chrono::seconds late_gap_half_life{10};
// Long outputs are isolated for this long after interference was last detected; then their engines prefill
// again.
constexpr std::chrono::seconds isolation_time{30};
// Weight of the newest gap in an engine's mean gap: about the last twenty count.
constexpr double newest_mean_gap_weight = 0.05;
// Longer gaps count as this many objectives: beyond it, their length carries no further information.
constexpr double max_objective_ratio = 3;
// An engine whose mean gap exceeds this part of the objective is slow.
constexpr double slow_objective_ratio = 0.5;
// Engines that turn slow usually stay slow for some seconds.
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
