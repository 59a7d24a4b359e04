#include "admission/retry_after_estimator.h"

#include <algorithm>

namespace tanager {

namespace {

constexpr std::chrono::milliseconds min_retry_after{50};
// Callers wait for at most a third of the time that they have left, so a longer delay would have no effect.
constexpr std::chrono::milliseconds max_retry_after{2'000};
// An overload has ended when no request has been rejected for this long.
constexpr std::chrono::milliseconds overload_quiet_period{250};

} // namespace

retry_after_estimator::retry_after_estimator(const clock& time)
    : time(time), overloaded_since(time.now()), last_rejection(time.now() - overload_quiet_period)
{
}

void retry_after_estimator::record_rejection()
{
    const auto now = this->time.now();
    if (now - this->last_rejection >= overload_quiet_period) {
        this->overloaded_since = now;
    }
    this->last_rejection = now;
}

std::chrono::milliseconds retry_after_estimator::estimate(duration expected_wait, random_source& random) const
{
    const auto overload_duration = this->last_rejection - this->overloaded_since;
    const auto delay =
        std::clamp(std::chrono::ceil<std::chrono::milliseconds>(std::max(expected_wait, overload_duration)),
                   min_retry_after,
                   max_retry_after);
    const auto jitter_range = static_cast<std::uint64_t>(delay.count());
    const std::chrono::milliseconds jitter{static_cast<std::int64_t>(random.next() % jitter_range)};
    return std::min(delay + jitter, max_retry_after);
}

} // namespace tanager
