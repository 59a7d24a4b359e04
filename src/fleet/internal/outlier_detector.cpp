#include "fleet/outlier_detector.h"

#include <algorithm>
#include <utility>

namespace tanager {

namespace {

// Consecutive silences that put a server aside; one may be a connection that was closed on reuse.
constexpr unsigned silences_until_aside = 2;
// Weight of the newest request in the share of failures: about the last ten requests count.
constexpr double newest_weight = 0.1;
// Above this share of failures a server does more harm than the room it offers.
constexpr double failure_bound = 0.35;
// The first period aside; a crashed server is back after some seconds.
constexpr std::chrono::milliseconds shortest_aside{500};
constexpr unsigned longest_doublings = 3;

} // namespace

outlier_detector::outlier_detector(const clock& time) : time(time) {}

bool outlier_detector::record(const std::string& id, server_outcome sign)
{
    auto& row = this->rows[id];
    if (sign == server_outcome::inconclusive) {
        return false;
    }
    const bool is_bad = sign != server_outcome::answered;
    row.failure_share += newest_weight * ((is_bad ? 1.0 : 0.0) - row.failure_share);
    if (!is_bad) {
        const bool was_on_trial = std::exchange(row.on_trial, false);
        row.silences = 0;
        if (row.failure_share < failure_bound / 2) {
            row.repetitions = 0;
        }
        return was_on_trial;
    }
    row.silences += sign == server_outcome::unresponsive ? 1 : 0;
    const bool is_untrusted = row.silences >= silences_until_aside || row.failure_share > failure_bound;
    if (!is_untrusted && !row.on_trial) {
        return false;
    }
    return this->put_aside(row);
}

bool outlier_detector::put_aside(standing& row)
{
    const auto now = this->time.now();
    if (row.aside_until > now) {
        return false;
    }
    const auto doublings = std::min(row.repetitions, longest_doublings);
    row.aside_until = now + shortest_aside * (1U << doublings);
    ++row.repetitions;
    const bool is_new = !row.on_trial;
    row.on_trial = true;
    row.failure_share = std::min(row.failure_share, failure_bound);
    return is_new;
}

bool outlier_detector::is_ejected(const std::string& id) const
{
    const auto found = this->rows.find(id);
    return found != this->rows.end() && found->second.aside_until > this->time.now();
}

bool outlier_detector::is_probing(const std::string& id) const
{
    const auto found = this->rows.find(id);
    return found != this->rows.end() && found->second.on_trial;
}

void outlier_detector::keep_only(const std::set<std::string>& listed)
{
    std::erase_if(this->rows, [&](const auto& row) { return !listed.contains(row.first); });
}

} // namespace tanager
