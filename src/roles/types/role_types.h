// What role decisions are made from, and what comes of them.
#pragma once

#include "fleet/types/backend_server.h"

#include <cstdint>
#include <string>
#include <vector>

namespace tanager {

// One engine of a service as the planner sees it.
struct engine_state {
    std::string id;
    engine_role role = engine_role::decode;
    std::uint32_t slots = 1;
    std::uint32_t running = 0;
    std::uint32_t long_outputs = 0;
    bool is_settled = true; // its last order is known to be carried out

    friend bool operator==(const engine_state&, const engine_state&) = default;
};

// What the requests of a service ask for, from the last seconds.
struct role_demand {
    double prefill_milliseconds = 0; // of a prefill engine, for one long prompt
    double decode_milliseconds = 0;  // a place is held for so long once a long prompt has been read
    double prompts_per_second = 0;   // long prompts that came in the last second, rejected ones included
    double long_outputs = 0;         // at the same time, at their recent peak

    friend bool operator==(const role_demand&, const role_demand&) = default;
};

struct role_change {
    std::string engine_id;
    engine_role role = engine_role::decode;

    friend bool operator==(const role_change&, const role_change&) = default;
};

// How much a change is weighed against the capacity that it takes away for seconds.
struct role_policy {
    double min_gain_ratio = 0.15; // of the long prompts that the service can serve

    friend bool operator==(const role_policy&, const role_policy&) = default;
};

// What an engine says of its orders.
struct engine_report {
    std::uint64_t accepted_order_count = 0;
    bool is_busy = false; // an order is being carried out
    engine_role role = engine_role::none;

    friend bool operator==(const engine_report&, const engine_report&) = default;
};

// An order as it is sent.
struct role_order {
    std::string server_id;
    engine_role role = engine_role::decode;
    std::string lease_holder;
    std::uint64_t fencing_token = 0;
    std::uint64_t expected_order_count = 0; // the engine refuses when it has accepted another number

    friend bool operator==(const role_order&, const role_order&) = default;
};

} // namespace tanager
