// Passes over backend servers that fail, from what requests to them did.
#pragma once

#include "base/clock.h"

#include <map>
#include <set>
#include <string>

namespace tanager {

// What one request says of the server that it went to.
enum class server_outcome {
    answered,     // it gave an answer of its own
    failed,       // it answered with a failure that others would not give
    unresponsive, // it could not be reached, broke off or did not answer in time
    inconclusive  // it had no room
};

// Load pattern: servers that crash, hang, or fail a part of their requests while others are well. Consecutive
// silences, or a high share of failures, put a server aside for a period that doubles with each repetition;
// then single requests try it until one is answered.
class outlier_detector {
public:
    explicit outlier_detector(const clock& time);

    // Returns whether the server's standing changed.
    bool record(const std::string& id, server_outcome outcome);

    bool is_ejected(const std::string& id) const;

    // Returns whether the server has been put aside and has not answered since.
    bool is_probing(const std::string& id) const;

    // Drops what is known of servers that are not in the list any more.
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
