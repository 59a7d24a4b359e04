// Measures what the requests of each service ask of its engines.
#pragma once

#include "base/clock.h"
#include "roles/types/role_types.h"

#include <cstdint>
#include <map>
#include <string>

namespace tanager {

// Load pattern: bursts of some seconds on a low mean. The rate that counts is that of the busiest recent second.
class demand_meter {
public:
    explicit demand_meter(const clock& time);

    // Records a long prompt that came, whether it is served or not.
    void record_prompt(const std::string& service, std::uint32_t own_tokens);

    // Records how long a request with a long prompt held its place once the prompt had been read.
    void record_generation(const std::string& service, duration held);

    // Returns the demand on all gateways, of which this is one in `gateways`; `token_milliseconds` is what a prefill
    // engine takes for a prompt token.
    role_demand measure(const std::string& service, std::size_t gateways, double token_milliseconds) const;

private:
    struct service_row {
        double own_tokens = 0;
        double held_milliseconds = 0;
        double peak_per_second = 0;
        time_point second_began;
        std::uint32_t in_second = 0;
    };

    const clock& time;
    std::map<std::string, service_row> services;
};

} // namespace tanager
