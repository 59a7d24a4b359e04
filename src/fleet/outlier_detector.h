// Detects backend servers that fail, from the outcomes of the requests sent to them, and ejects them.
#pragma once

#include "base/clock.h"

#include <map>
#include <set>
#include <string>

namespace tanager {

// What the outcome of one request shows about the server that it was sent to.
enum class server_outcome {
    answered,     // the server itself sent a response
    failed,       // it responded with a failure that other servers would not give
    unresponsive, // it was unreachable, its connection broke or it timed out
    inconclusive  // nothing about its health, for example when it had no free slot
};

// Load pattern: servers crash, hang or fail a part of their requests while others are healthy. Consecutive
// unresponsive outcomes, or a high ratio of failures, eject a server for a time that doubles with each
// ejection; then single requests probe it until one is answered.
class outlier_detector {
public:
    explicit outlier_detector(const clock& time);

    // Returns whether the outcome ejected the server for the first time since it last answered, or ended its
    // probing.
    bool record(const std::string& id, server_outcome outcome);

    bool is_ejected(const std::string& id) const;

    // Returns whether the server has been ejected and has not answered since.
    bool is_probing(const std::string& id) const;

    // Drops the state of servers that are no longer listed.
    void keep_only(const std::set<std::string>& listed);

private:
    struct server_state {
        unsigned consecutive_unresponsive = 0;
        double failure_ratio = 0;
        unsigned ejections = 0;
        bool is_probing = false;
        time_point ejected_until;
    };

    bool eject(server_state& state);

    const clock& time;
    std::map<std::string, server_state> states;
};

} // namespace tanager
