// What the soak remembers of a run.
#pragma once

#include "base/clock.h"
#include "tests/support/test_client.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace tanager::soak {

enum class request_kind { order, read, stream, extra };

// One request of a caller and what became of it. Callers do not repeat requests.
struct sent_request : testing::pending_answer {
    std::string id;
    std::string body;
    request_kind kind = request_kind::order;
    unsigned events = 0;      // of a stream
    unsigned extra_route = 0; // number of the route that a change of the configuration has added
    std::string gateway;      // its host and the number of its start
    time_point sent;
};

// A span in which something unplanned was wrong.
struct disturbance {
    time_point began;
    time_point ended = time_point::max();
};

// A gateway was asked to stop.
struct planned_stop {
    std::string gateway;
    time_point asked;
};

// A backend server that has said that it leaves.
struct leaving_server {
    std::string id;
    time_point told; // when the store had accepted its state
};

// Requests by the server that ran them; a request that ran twice on one server is counted twice.
using run_counts = std::map<std::string, std::map<std::string, unsigned>>;

struct soak_record {
    std::vector<std::shared_ptr<sent_request>> requests;
    std::vector<disturbance> disturbances;
    std::vector<planned_stop> stops;
    std::vector<leaving_server> leavers;
    run_counts runs;
    std::vector<std::string> unexpected_ends; // of gateways, with how they ended
};

} // namespace tanager::soak
