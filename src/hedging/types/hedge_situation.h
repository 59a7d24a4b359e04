#pragma once

#include "base/clock.h"

#include <cstdint>
#include <string_view>

namespace tanager {

// What is known when a request has waited for its answer for the hedging delay.
struct hedge_situation {
    bool may_run_again = false;    // its route allows one more attempt
    std::uint32_t total_slots = 0; // of the service
    std::uint32_t used_slots = 0;  // by all gateways
    bool is_work_waiting = false;  // a request waits for a slot of the service
    double retry_balance = 0;      // what the gateway may spend on retries
    double max_retry_balance = 0;  // what it may hold at most
    duration time_left{0};         // until the deadline of the request
    duration usual_latency{0};     // the median of the route

    friend bool operator==(const hedge_situation&, const hedge_situation&) = default;
};

enum class hedge_verdict {
    hedge,
    attempts_used,
    work_waiting,
    servers_busy,
    retries_reserved, // the rest of the retry budget is for requests that have failed
    too_late,         // the answer would come after the deadline
    limit_reached     // of the operators
};

std::string_view name_of(hedge_verdict verdict);

} // namespace tanager
