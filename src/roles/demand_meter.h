// Measures what the requests of each service ask of its engines.
#pragma once

#include "base/clock.h"
#include "roles/arrival_meter.h"
#include "roles/types/role_types.h"

#include <cstdint>
#include <map>
#include <string>

namespace tanager {

// Load pattern: bursts of some seconds on a low mean, of long prompts and of long outputs.
class demand_meter {
public:
    explicit demand_meter(const clock& time);

    // Records a long prompt that came, whether it is served or not.
    void record_prompt(const std::string& service, std::uint32_t suffix_tokens);

    // Records how long a request with a long prompt held its place once the prompt had been read.
    void record_decode(const std::string& service, duration slot_time);

    // Records how many long outputs run at the moment, on all gateways.
    void record_long_outputs(const std::string& service, std::uint32_t running);

    // Returns the prompts that came here in the last second; by service, those of which any came.
    std::uint32_t prompts_last_second(const std::string& service) const;
    std::map<std::string, std::uint32_t> prompts_last_second() const;

    // Returns the demand on all gateways: `prompts_elsewhere` came to the others in the last second, and
    // `token_milliseconds` is what a prefill engine takes for a prompt token.
    role_demand measure(const std::string& service,
                        std::uint32_t peer_prompts,
                        double prefill_milliseconds_per_token) const;

private:
    struct service_row {
        explicit service_row(const clock& time) : arrivals(time) {}

        arrival_meter arrivals;
        std::uint32_t prompts = 0;
        std::uint32_t decodes = 0;
        double suffix_tokens = 0;
        double slot_milliseconds = 0;
        double peak_long_outputs = 0;
    };

    service_row& row_of(const std::string& service);

    const clock& time;
    std::map<std::string, service_row> services;
};

} // namespace tanager
