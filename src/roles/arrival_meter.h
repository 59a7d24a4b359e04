// Counts the arrivals within the last second.
#pragma once

#include "base/clock.h"

#include <cstdint>
#include <deque>

namespace tanager {

class arrival_meter {
public:
    explicit arrival_meter(const clock& time);

    void record();

    // Returns the arrivals of the last second.
    std::uint32_t last_second() const;

private:
    const clock& time;
    mutable std::deque<time_point> arrivals; // older ones are removed in last_second()
};

} // namespace tanager
