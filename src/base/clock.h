// Time as an interface, so that decisions never read the machine's clock themselves.
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

    // Returns monotonic time, for measuring and for deadlines inside one process.
    virtual time_point now() const = 0;

    // Returns calendar time; it may step, so no safety argument rests on it.
    virtual wall_time_point wall_now() const = 0;
};

} // namespace tanager
