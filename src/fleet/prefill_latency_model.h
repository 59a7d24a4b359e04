// Learns how fast engines read prompts, from what requests to them took.
#pragma once

#include "base/clock.h"
#include "fleet/types/backend_server.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace tanager {

// Load pattern: engines of unknown and unequal speed, some turning slow, under bursts of long prompts. The
// time to the first answer is a line over the prompt tokens that were to be read before it, its own included:
// a fixed part (network, first tokens) and one for each token. The line is fitted for the engines of a
// service and role; each engine's own speed is a factor on it. Old samples fade.
class prefill_latency_model {
public:
    // Records the time to the first answer of a request that had `tokens` to be read before it.
    void record(const backend_server& server, std::uint64_t tokens, duration elapsed);

    // Returns the parts of the expected time to the first answer: the fixed one, and that of one prompt
    // token.
    double base_latency_milliseconds(const backend_server& server) const;
    double prefill_milliseconds_per_token(const backend_server& server) const;

    // Drops what is known of servers that are not in the list any more.
    void keep_only(const std::set<std::string>& listed);

private:
    struct group_key {
        std::string service;
        engine_role role = engine_role::none;

        friend auto operator<=>(const group_key&, const group_key&) = default;
    };

    // Faded sums of a least-squares fit of milliseconds over tokens.
    struct regression_sums {
        double count = 0;
        double tokens = 0;
        double milliseconds = 0;
        double tokens_squared = 0;
        double products = 0;
    };

    struct fitted_line {
        double base_milliseconds = 0;
        double milliseconds_per_token = 0;
    };

    static fitted_line fit(const regression_sums& sums);
    fitted_line fit_group_of(const backend_server& server) const;

    std::map<group_key, regression_sums> groups;
    std::map<std::string, double> speed_factors; // of each engine's slope to that of its group
};

} // namespace tanager
