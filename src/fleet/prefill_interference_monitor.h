// Learns whether reading prompts makes the streams beside it pause for too long.
#pragma once

#include "base/clock.h"

#include <map>
#include <set>
#include <string>

namespace tanager {

// A pause between two events of a stream.
struct event_gap {
    std::string service;
    std::string server;
    double objective_ratio = 0;
    double used_timeout_ratio = 0;  // by the request so far, as a share of its route's
    bool is_during_prefill = false; // the engine had prompts to read

    friend bool operator==(const event_gap&, const event_gap&) = default;
};

// Load pattern: long answers run for seconds on engines that also read long prompts. An event may hold many
// tokens, and each step between them takes a piece of a prompt along, so a burst of prompts makes one pause
// among a hundred too long, which is enough to make the answer late. The mean pause does not show that; the
// share of pauses that are too long does. And the largest answers, which need most of their time on an engine
// in ordinary use, meet their deadline although no pause is too long. On some engines reading does no harm;
// only the streams tell.
//
// Once seen, it is believed for a while; then reading is tried again. An engine whose pauses are long on the
// average is slow by itself and says nothing of reading.
class prefill_interference_monitor {
public:
    explicit prefill_interference_monitor(const clock& time);

    void record(const event_gap& gap);

    // Returns whether long outputs of the service should be spared from prompts.
    bool should_isolate_long_outputs(const std::string& service) const;

    // Returns whether the streams of an engine have been slow lately, whatever it reads.
    bool is_slow(const std::string& server) const;

    // Returns whether an engine has sent an event of any stream after this moment.
    bool has_event_since(const std::string& server, time_point moment) const;

    // Drops what was learned of servers that are not listed.
    void keep_only(const std::set<std::string>& listed);

private:
    // An average that fades when nothing is recorded.
    struct decaying_average {
        double value = 0;
        time_point updated_at;
    };

    double decayed_value(const decaying_average& average, std::chrono::duration<double> half_life) const;

    const clock& time;
    std::map<std::string, time_point> isolated_until;        // by service
    std::map<std::string, decaying_average> late_gap_ratios; // by service
    std::map<std::string, decaying_average> mean_gap_ratios; // by server, as shares of the objective
};

} // namespace tanager
