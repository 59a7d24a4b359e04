#include "admission/retry_after_estimator.h"

#include <algorithm>

namespace tanager {

namespace {

// The shortest and longest advice. Callers follow advice up to a third of the time that they have left, so a
// longer one would only be cut.
constexpr std::chrono::milliseconds soonest_return{50};
constexpr std::chrono::milliseconds latest_return{2'000};
// An overload is over when nobody has been rejected for this long.
constexpr std::chrono::milliseconds calm_after{250};

} // namespace

retry_after_estimator::retry_after_estimator(const clock& time)
    : time(time), overloaded_since(time.now()), last_rejection(time.now() - calm_after)
{
}

void retry_after_estimator::record_rejection()
{
    const auto now = this->time.now();
    if (now - this->last_rejection >= calm_after) {
        this->overloaded_since = now;
    }
    this->last_rejection = now;
}

std::chrono::milliseconds retry_after_estimator::estimate(duration expected_wait, random_source& random) const
{
    const auto lasted = this->last_rejection - this->overloaded_since;
    const auto wait =
        std::clamp(std::chrono::ceil<std::chrono::milliseconds>(std::max(expected_wait, lasted)),
                   soonest_return,
                   latest_return);
    const auto spread = static_cast<std::uint64_t>(wait.count());
    const std::chrono::milliseconds drawn{static_cast<std::int64_t>(random.next() % spread)};
    return std::min(wait + drawn, latest_return);
}

} // namespace tanager
