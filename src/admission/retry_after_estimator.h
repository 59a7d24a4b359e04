// Estimates after which delay a rejected caller should retry.
#pragma once

#include "base/clock.h"
#include "base/random_source.h"

#include <chrono>

namespace tanager {

// Load pattern: bursts that last for seconds. A caller that retries within the same burst is rejected again,
// so the delay grows with the time for which callers have been rejected already: an overload that has lasted
// for a second is expected to last for another one. Random jitter of up to the delay itself is added, so that
// callers that were rejected together do not retry together.
class retry_after_estimator {
public:
    explicit retry_after_estimator(const clock& time);

    void record_rejection();

    // Returns 50 to 2,000 ms, and within these bounds no less than `expected_wait`, the estimated wait in the
    // slot queue.
    std::chrono::milliseconds estimate(duration expected_wait, random_source& random) const;

private:
    const clock& time;
    time_point overloaded_since;
    time_point last_rejection;
};

} // namespace tanager
