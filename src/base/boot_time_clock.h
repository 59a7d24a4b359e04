#pragma once

#include "base/clock.h"

namespace tanager {

// Its steady time also counts the time for which the host is suspended (CLOCK_BOOTTIME). For ages that are
// reported to other hosts.
class boot_time_clock final : public clock {
public:
    time_point now() const override;
    wall_time_point wall_now() const override;
};

} // namespace tanager
