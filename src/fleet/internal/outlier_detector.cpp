#include "fleet/outlier_detector.h"

#include <algorithm>
#include <utility>

namespace tanager {

namespace {

// Consecutive unresponsive outcomes that eject a server; a single one may be a reused connection that the
// server had closed.
constexpr unsigned min_consecutive_unresponsive = 2;
// Weight of the newest request in the failure ratio: about the last ten requests count.
constexpr double newest_outcome_weight = 0.1;
// Above this ratio of failures, a server does more harm than its slots are worth.
constexpr double max_failure_ratio = 0.35;
// Each further ejection doubles it, up to 4 s: a crashed server takes some seconds to restart.
constexpr std::chrono::milliseconds first_ejection_time{500};
constexpr unsigned max_doublings = 3;

} // namespace

outlier_detector::outlier_detector(const clock& time) : time(time) {}

bool outlier_detector::record(const std::string& id, server_outcome outcome)
{
    auto& state = this->states[id];
    if (outcome == server_outcome::inconclusive) {
        return false;
    }
    const bool is_failure = outcome != server_outcome::answered;
    state.failure_ratio += newest_outcome_weight * ((is_failure ? 1.0 : 0.0) - state.failure_ratio);
    if (!is_failure) {
        const bool was_probing = std::exchange(state.is_probing, false);
        state.consecutive_unresponsive = 0;
        if (state.failure_ratio < max_failure_ratio / 2) {
            state.ejections = 0;
        }
        return was_probing;
    }
    state.consecutive_unresponsive += outcome == server_outcome::unresponsive ? 1 : 0;
    const bool is_outlier = state.consecutive_unresponsive >= min_consecutive_unresponsive ||
                            state.failure_ratio > max_failure_ratio;
    if (!is_outlier && !state.is_probing) {
        return false;
    }
    return this->eject(state);
}

bool outlier_detector::eject(server_state& state)
{
    const auto now = this->time.now();
    if (state.ejected_until > now) {
        return false;
    }
    const auto doublings = std::min(state.ejections, max_doublings);
    state.ejected_until = now + first_ejection_time * (1U << doublings);
    ++state.ejections;
    const bool is_first_ejection = !state.is_probing;
    state.is_probing = true;
    state.failure_ratio = std::min(state.failure_ratio, max_failure_ratio);
    return is_first_ejection;
}

bool outlier_detector::is_ejected(const std::string& id) const
{
    const auto found = this->states.find(id);
    return found != this->states.end() && found->second.ejected_until > this->time.now();
}

bool outlier_detector::is_probing(const std::string& id) const
{
    const auto found = this->states.find(id);
    return found != this->states.end() && found->second.is_probing;
}

void outlier_detector::keep_only(const std::set<std::string>& listed)
{
    std::erase_if(this->states, [&](const auto& entry) { return !listed.contains(entry.first); });
}

} // namespace tanager
