// Interface to monotonic and wall-clock time, so that decisions never read the system clock directly.
#pragma once

#include <chrono>

namespace tanager {

using time_point = std::chrono::steady_clock::time_point;
using duration = std::chrono::steady_clock::duration;
using wall_time_point = std::chrono::system_clock::time_point;

class clock {
public:
    clock() = default;
    clock(const clock&) = delete;
    clock& operator=(const clock&) = delete;
    clock(clock&&) = delete;
    clock& operator=(clock&&) = delete;
    virtual ~clock() = default;

    // Returns monotonic time, for durations and deadlines within one process.
    virtual time_point now() const = 0;

    // Returns wall-clock time. It can jump in either direction, so safety must not depend on it.
    virtual wall_time_point wall_now() const = 0;
};

} // namespace tanager
