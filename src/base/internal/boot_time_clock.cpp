#include "base/boot_time_clock.h"

#include <ctime>

namespace tanager {

time_point boot_time_clock::now() const
{
    timespec since_boot{};
    if (clock_gettime(CLOCK_BOOTTIME, &since_boot) != 0) {
        return std::chrono::steady_clock::now();
    }
    return time_point{std::chrono::seconds{since_boot.tv_sec} + std::chrono::nanoseconds{since_boot.tv_nsec}};
}

wall_time_point boot_time_clock::wall_now() const
{
    return std::chrono::system_clock::now();
}

} // namespace tanager
