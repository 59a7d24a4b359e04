#include "base/system_clock.h"

namespace tanager {

time_point system_clock::now() const
{
    return std::chrono::steady_clock::now();
}

wall_time_point system_clock::wall_now() const
{
    return std::chrono::system_clock::now();
}

} // namespace tanager
