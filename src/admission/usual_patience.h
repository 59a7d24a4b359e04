// Tells callers that have been rejected before from those that come for the first time.
#pragma once

#include "base/clock.h"

#include <chrono>
#include <cstddef>
#include <vector>

namespace tanager {

// Callers of one route have the same time for a request, and say what is left of it. One that says much less
// than is usual has spent the rest on an earlier attempt: its objective, which counts from the first attempt,
// may be lost already.
class usual_patience {
public:
    void record(std::chrono::milliseconds patience);

    // Returns what a caller with that patience has spent before.
    std::chrono::milliseconds spent_before(std::chrono::milliseconds patience) const;

private:
    std::vector<std::chrono::milliseconds> recent; // a ring of the last requests
    std::size_t next = 0;
    std::chrono::milliseconds usual{0};
};

} // namespace tanager
