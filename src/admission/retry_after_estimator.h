// Decides when a rejected caller should come back.
#pragma once

#include "base/clock.h"
#include "base/random_source.h"

#include <chrono>

namespace tanager {

// Load pattern: bursts that last for seconds. A caller that comes back within the same burst is rejected
// again and has gained nothing, so the advice grows with the time for which callers have been rejected
// already: an overload that has lasted for a second is expected to last for another one. The advice is drawn
// from a span as long as itself, so that those rejected together do not return together.
class retry_after_estimator {
public:
    explicit retry_after_estimator(const clock& time);

    void record_rejection();

    // `expected_wait` is what the line of waiting requests says; the advice is never shorter.
    std::chrono::milliseconds estimate(duration expected_wait, random_source& random) const;

private:
    const clock& time;
    time_point overloaded_since;
    time_point last_rejection;
};

} // namespace tanager
