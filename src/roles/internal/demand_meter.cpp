#include "roles/demand_meter.h"

#include <algorithm>

namespace tanager {

namespace {

// Weight of the newest request in the averages: about the last hundred count.
constexpr double newest_weight = 0.01;
// What the rate of the busiest second loses with each further second.
constexpr double peak_fading = 0.97;

void average(double& standing, double newest)
{
    standing = standing == 0 ? newest : standing + newest_weight * (newest - standing);
}

} // namespace

demand_meter::demand_meter(const clock& time) : time(time) {}

void demand_meter::record_prompt(const std::string& service, std::uint32_t own_tokens)
{
    auto& row = this->services[service];
    average(row.own_tokens, own_tokens);
    const auto now = this->time.now();
    if (now - row.second_began >= std::chrono::seconds{1}) {
        row.peak_per_second = std::max(row.peak_per_second * peak_fading, static_cast<double>(row.in_second));
        row.second_began = now;
        row.in_second = 0;
    }
    ++row.in_second;
}

void demand_meter::record_generation(const std::string& service, duration held)
{
    average(this->services[service].held_milliseconds,
            std::chrono::duration<double, std::milli>(held).count());
}

role_demand demand_meter::measure(const std::string& service,
                                  std::size_t gateways,
                                  double token_milliseconds) const
{
    const auto found = this->services.find(service);
    if (found == this->services.end()) {
        return {};
    }
    const auto& row = found->second;
    return {row.own_tokens * token_milliseconds,
            row.held_milliseconds,
            row.peak_per_second * static_cast<double>(gateways)};
}

} // namespace tanager
