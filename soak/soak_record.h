// What the soak remembers of a run.
#pragma once

#include "base/clock.h"
#include "tests/support/test_client.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace tanager::soak {

enum class request_kind { non_idempotent, idempotent, stream, added_route };

// One request of a caller and what became of it. Callers do not repeat requests.
struct sent_request : testing::async_response {
    std::string id;
    std::string body;
    request_kind kind = request_kind::non_idempotent;
    unsigned event_count = 0;        // of a stream
    unsigned added_route_number = 0; // number of the route that a change of the configuration has added
    std::string gateway_instance;    // its host and the number of its start
    time_point sent_at;
};

// A span in which something unplanned was wrong.
struct fault_interval {
    time_point started_at;
    time_point ended_at = time_point::max();
};

// A gateway was asked to stop.
struct planned_stop {
    std::string gateway_instance;
    time_point requested_at;
};

// A backend server that has said that it leaves.
struct draining_server {
    std::string id;
    time_point announced_at; // when the store had accepted its state
};

// Requests by the server that ran them; a request that ran twice on one server is counted twice.
using execution_counts_by_server = std::map<std::string, std::map<std::string, unsigned>>;

struct soak_record {
    std::vector<std::shared_ptr<sent_request>> requests;
    std::vector<fault_interval> fault_intervals;
    std::vector<planned_stop> planned_stops;
    std::vector<draining_server> draining_servers;
    execution_counts_by_server execution_counts;
    std::vector<std::string> unexpected_exits; // of gateways, with how they ended
};

} // namespace tanager::soak
