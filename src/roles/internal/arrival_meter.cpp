#include "roles/arrival_meter.h"

namespace tanager {

arrival_meter::arrival_meter(const clock& time) : time(time) {}

void arrival_meter::record()
{
    this->arrivals.push_back(this->time.now());
}

std::uint32_t arrival_meter::last_second() const
{
    const auto oldest = this->time.now() - std::chrono::seconds{1};
    while (!this->arrivals.empty() && this->arrivals.front() < oldest) {
        this->arrivals.pop_front();
    }
    return static_cast<std::uint32_t>(this->arrivals.size());
}

} // namespace tanager
