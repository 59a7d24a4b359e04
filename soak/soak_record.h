// What a soak run records for the checks at its end.
#pragma once

#include "base/clock.h"
#include "tests/support/test_client.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace tanager::soak {

enum class request_kind { non_idempotent, idempotent, stream, added_route };

// One request of a caller with its outcome. Callers do not retry requests.
struct sent_request : testing::async_response {
    std::string id;
    std::string body;
    request_kind kind = request_kind::non_idempotent;
    unsigned event_count = 0;        // of a streaming request
    unsigned added_route_number = 0; // number of a route added by a configuration change
    std::string gateway_instance;    // host and start number
    time_point sent_at;
};

// A span in which an injected fault was active.
struct fault_interval {
    time_point started_at;
    time_point ended_at = time_point::max();
    std::string target; // the gateway's host or the server that it strikes; empty: all of them
};

// A gateway that received SIGTERM.
struct planned_stop {
    std::string gateway_instance;
    time_point requested_at;
};

// A gateway that did not run for a while.
struct gateway_pause {
    std::string gateway_instance;
    time_point started_at;
};

// A backend server whose state was set to draining.
struct draining_server {
    std::string id;
    time_point announced_at; // when the store had accepted the state
};

// A route that was added to the configuration.
struct added_route {
    unsigned number = 0;
    time_point acknowledged_at; // when the store had accepted the version that has it
};

// Executions by server id and request id. A request that ran twice on one server counts 2.
using execution_counts_by_server = std::map<std::string, std::map<std::string, unsigned>>;

struct soak_record {
    std::vector<std::shared_ptr<sent_request>> requests;
    std::vector<fault_interval> fault_intervals;
    std::vector<planned_stop> planned_stops;
    std::vector<draining_server> draining_servers;
    std::vector<gateway_pause> pauses;
    std::vector<added_route> added_routes;
    execution_counts_by_server execution_counts;
    std::vector<std::string> unexpected_exits; // of gateways, with their exit status
};

} // namespace tanager::soak
