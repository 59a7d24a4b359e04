#pragma once

#include "base/clock.h"

namespace tanager {

// Reads std::chrono::steady_clock and std::chrono::system_clock.
class system_clock final : public clock {
public:
    time_point now() const override;
    wall_time_point wall_now() const override;
};

} // namespace tanager
