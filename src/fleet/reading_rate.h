// Learns how fast engines read prompts, from what requests to them took.
#pragma once

#include "base/clock.h"
#include "fleet/types/backend_server.h"

#include <cstdint>
#include <map>
#include <string>

namespace tanager {

// Load pattern: engines of unknown and unequal speed, some turning slow, under bursts of long prompts. The
// time to the first answer is a fixed part (first tokens, network), learned from short prompts, and a part
// for the prompt tokens that were to be read before it, its own included. Old samples fade.
class reading_rate {
public:
    // Records the time to the first answer of a request that had `tokens` to be read before it.
    void record(const backend_server& server, std::uint64_t tokens, duration elapsed);

    // Returns the parts of the expected time to the first answer: the fixed one, and that of one prompt
    // token.
    double fixed_milliseconds(const backend_server& server) const;
    double token_milliseconds(const backend_server& server) const;

    void forget(const std::string& server_id);

private:
    // A ratio of sums, so that long prompts count for more.
    struct rate_sums {
        double tokens = 0;
        double milliseconds = 0;
    };

    // Engines of one service and role share their fixed part, and their speed until a server is known better.
    struct group_key {
        std::string service;
        engine_role role = engine_role::none;

        friend auto operator<=>(const group_key&, const group_key&) = default;
    };

    struct group_row {
        double fixed_milliseconds = 0;
        rate_sums sums;
    };

    std::map<group_key, group_row> groups;
    std::map<std::string, rate_sums> servers;
};

} // namespace tanager
