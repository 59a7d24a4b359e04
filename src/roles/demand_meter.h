// Measures the load that the requests of each service put on its engines.
#pragma once

#include "base/clock.h"
#include "roles/arrival_meter.h"
#include "roles/types/role_types.h"

#include <cstdint>
#include <map>
#include <string>

namespace tanager {

// The tokens of a prompt.
struct prompt_size {
    std::uint32_t prefix_tokens = 0; // shared with other prompts
    std::uint32_t suffix_tokens = 0;

    friend bool operator==(const prompt_size&, const prompt_size&) = default;
};

// Load pattern: low mean load, with bursts of long prompts and of long outputs that last for some seconds.
class demand_meter {
public:
    explicit demand_meter(const clock& time);

    // Records the arrival of a long prompt, whether it is served or rejected, and the gap objective of its
    // route; 0 if that has none.
    void record_prompt(const std::string& service,
                       const prompt_size& prompt,
                       std::chrono::milliseconds gap_objective);

    // Records how long a request with a long prompt held its slot after the prefill.
    void record_decode(const std::string& service, duration slot_time);

    // Records the current number of running long outputs, of all gateways. To be called twice a second.
    void record_long_outputs(const std::string& service, std::uint32_t running);

    // Returns the number of long prompts of this gateway in the last second; the map omits services without
    // any.
    std::uint32_t prompts_last_second(const std::string& service) const;
    std::map<std::string, std::uint32_t> prompts_last_second() const;

    // Returns the demand on all gateways, or an empty demand while too few decodes are recorded.
    // `peer_prompts` is the number of long prompts of the peers in the last second, and
    // `prefill_milliseconds_per_token` the time a prefill engine takes for a prompt token; a decode engine
    // takes `prefill_speed_up` times as long.
    role_demand measure(const std::string& service,
                        std::uint32_t peer_prompts,
                        double prefill_milliseconds_per_token,
                        double prefill_speed_up) const;

private:
    struct service_row {
        explicit service_row(const clock& time) : arrivals(time) {}

        arrival_meter arrivals;
        std::uint32_t prompts = 0;
        std::uint32_t decodes = 0;
        double suffix_tokens = 0;
        double prompt_tokens = 0; // prefix and suffix
        double gap_objective_milliseconds = 0;
        double slot_milliseconds = 0;
        double peak_long_outputs = 0;
    };

    service_row& row_of(const std::string& service);

    const clock& time;
    std::map<std::string, service_row> services;
};

} // namespace tanager
