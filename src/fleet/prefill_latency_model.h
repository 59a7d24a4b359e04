// Estimates the prefill latency of engines from the measured latency of requests.
#pragma once

#include "base/clock.h"
#include "fleet/types/backend_server.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace tanager {

// Load pattern: engines of unknown and unequal speed, some of which turn slow, under bursts of long prompts.
// The time to the first response is modelled as linear in the prompt tokens to prefill before it, those of
// the request itself included: a base latency (network, first tokens) plus a time per token. The line is
// fitted over all engines of a service and role; each engine's own speed is a factor on its slope. The weight
// of old samples decays.
class prefill_latency_model {
public:
    // Records the time to the first response of a request, with `tokens` prompt tokens to prefill before it.
    void record(const backend_server& server, std::uint64_t tokens, duration elapsed);

    // Return the two parts of the expected time to the first response: the base latency, and the time per
    // prompt token.
    double base_latency_milliseconds(const backend_server& server) const;
    double prefill_milliseconds_per_token(const backend_server& server) const;

    // Drops the speed factors of servers that are no longer listed.
    void keep_only(const std::set<std::string>& listed);

private:
    struct group_key {
        std::string service;
        engine_role role = engine_role::none;

        friend auto operator<=>(const group_key&, const group_key&) = default;
    };

    // Decaying sums for a least-squares fit of milliseconds over tokens.
    struct regression_sums {
        double count = 0;
        double tokens = 0;
        double milliseconds = 0;
        double tokens_squared = 0;
        double products = 0; // of tokens and milliseconds
    };

    struct fitted_line {
        double base_milliseconds = 0;
        double milliseconds_per_token = 0;
    };

    static fitted_line fit(const regression_sums& sums);
    fitted_line fit_group_of(const backend_server& server) const;

    std::map<group_key, regression_sums> groups;
    std::map<std::string, double> speed_factors; // an engine's slope as a multiple of its group's
};

} // namespace tanager
