// Detects whether prefill lengthens the event gaps of streams on the same engine beyond their objective.
#pragma once

#include "base/clock.h"

#include <map>
#include <set>
#include <string>

namespace tanager {

// The time between two events of a stream.
struct event_gap {
    std::string service;
    std::string server;
    double objective_ratio = 0;     // gap to the route's gap objective; above 1 exceeds it
    double used_timeout_ratio = 0;  // time that the request has taken so far to the timeout of its route
    bool is_during_prefill = false; // the engine had prompt tokens to prefill

    friend bool operator==(const event_gap&, const event_gap&) = default;
};

// Load pattern: long outputs are generated for seconds on engines that also prefill long prompts. An event
// may hold many tokens, and each decode step between them also processes a chunk of a prompt, so a burst of
// prompts makes one event gap in a hundred too long, which is enough for the response to miss its objective.
// The mean gap does not show that; the ratio of late gaps does. The longest outputs, which need most of their
// timeout on an engine in ordinary use, can miss their deadline although no gap is late. On some engines
// prefill does no harm; only the gaps of their streams show which.
//
// After interference is detected, long outputs are isolated for a while; then the engines serve both kinds
// again. An engine whose mean gap is long is slow by itself, so its gaps do not count as interference.
class prefill_interference_monitor {
public:
    explicit prefill_interference_monitor(const clock& time);

    void record(const event_gap& gap);

    // Returns whether long outputs of the service should run on engines that prefill nothing.
    bool should_isolate_long_outputs(const std::string& service) const;

    // Returns whether the streams of an engine have been slow lately, with or without prefill.
    bool is_slow(const std::string& server) const;

    // Returns whether an engine has sent an event of any stream after `moment`.
    bool has_event_since(const std::string& server, time_point moment) const;

    // Drops the mean gaps of servers that are no longer listed.
    void keep_only(const std::set<std::string>& listed);

private:
    // An average that decays to zero when nothing is recorded.
    struct decaying_average {
        double value = 0;
        time_point updated_at;
    };

    double decayed_value(const decaying_average& average, std::chrono::duration<double> half_life) const;

    const clock& time;
    std::map<std::string, time_point> isolated_until;        // by service
    std::map<std::string, decaying_average> late_gap_ratios; // by service
    std::map<std::string, decaying_average> mean_gap_ratios; // by server, to the objective
};

} // namespace tanager
