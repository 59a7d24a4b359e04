// Input and result types of role planning, and the orders that change roles.
#pragma once

#include "fleet/types/backend_server.h"

#include <cstdint>
#include <string>
#include <vector>

namespace tanager {

// The role and load of one engine, input of the planner.
struct engine_state {
    std::string id;
    engine_role role = engine_role::decode;
    std::uint32_t slots = 1;
    std::uint32_t running = 0;
    std::uint32_t long_outputs = 0;
    bool is_settled = true;   // the outcome of its last order is known
    bool is_changing = false; // it has accepted an order for `role` and takes no requests yet

    friend bool operator==(const engine_state&, const engine_state&) = default;
};

// The load of a service's requests, measured over the last seconds.
struct role_demand {
    double prefill_milliseconds = 0; // prefill time of a long prompt on a prefill engine
    double decode_milliseconds = 0;  // time that its request holds a slot after the prefill
    double prompts_per_second = 0;   // long prompts of the last second, including rejected ones
    double long_outputs = 0;         // recent peak of concurrent long outputs
    // Prefill time of a whole long prompt, prefix included, on a decode engine, and the gap objective of the
    // streams there; 0 if unknown.
    double decode_engine_prefill_milliseconds = 0;
    double gap_objective_milliseconds = 0;

    friend bool operator==(const role_demand&, const role_demand&) = default;
};

// The engine that should change, and its new role.
struct role_change {
    std::string engine_id;
    engine_role role = engine_role::decode;

    friend bool operator==(const role_change&, const role_change&) = default;
};

// When a role change is worth the capacity that it takes away for seconds.
struct role_policy {
    double min_gain_ratio = 0.15; // minimum relative increase of the long prompts that the service can serve

    friend bool operator==(const role_policy&, const role_policy&) = default;
};

// What an engine reports about its orders.
struct engine_report {
    std::uint64_t accepted_order_count = 0;
    bool is_busy = false; // an order is being executed
    engine_role role = engine_role::none;

    friend bool operator==(const engine_report&, const engine_report&) = default;
};

// An order to an engine to change its role.
struct role_order {
    std::string server_id;
    engine_role role = engine_role::decode;
    std::string lease_holder;
    std::uint64_t fencing_token = 0;
    std::uint64_t expected_order_count = 0; // the engine refuses the order if its accepted count differs

    friend bool operator==(const role_order&, const role_order&) = default;
};

} // namespace tanager
