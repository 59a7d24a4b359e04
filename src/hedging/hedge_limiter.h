// Decides which requests get a second attempt at another server because their first one is slow.
#pragma once

#include "base/clock.h"
#include "hedging/types/hedge_situation.h"
#include "hedging/types/hedging_policy.h"

#include <deque>
#include <map>
#include <optional>
#include <string>

namespace tanager {

// Load pattern: most answers of a route take about as long as each other, and a few in a hundred take many
// times as long, since their server is slow, pauses or has lost them, while other servers of the service are
// idle. A second attempt helps these few; in an overload, when all answers are slow, it would only add work.
//
// The delay before a second attempt is half as long again as the latency that all but twice `max_share` of
// the route's recent answers stayed below: clearly slow, and not yet the latency of the slowest themselves,
// which the exact share would be whenever a few more answers than that are slow. A token bucket holds the
// limit. Hedges are paid from the retry budget like retries, which keep half of it to themselves.
class hedge_limiter {
public:
    hedge_limiter(const clock& time, hedging_policy policy);

    // Applies from now on.
    void set_policy(hedging_policy new_policy);

    // Returns whether requests of a route may ever be hedged.
    bool applies_to(const std::string& route) const;

    // Records a repeatable request of a route; it adds to what the limit allows.
    void record_request(const std::string& route);

    // Records how long a server took to begin its answer. For an attempt that was given up, the time until
    // then is a lower bound, and recorded as well: else the slowest answers would be missing.
    void record_latency(const std::string& route, duration latency);

    // Returns after which time without an answer a request may be hedged; nullopt while too few latencies are
    // known.
    std::optional<duration> delay(const std::string& route) const;

    // Returns the median latency of a route; 0 if it is unknown.
    duration usual_latency(const std::string& route) const;

    // Decides on one hedge, and counts it against the limit if it is sent.
    hedge_verdict decide(const std::string& route, const hedge_situation& situation);

    // Forgets all routes but these.
    void keep_only(const std::set<std::string>& listed_routes);

private:
    struct sample {
        time_point measured_at;
        duration latency{0};
    };

    struct route_state {
        std::deque<sample> samples; // oldest first
        double balance = 0;         // hedges that the limit allows
    };

    std::optional<duration> quantile(const std::string& route, double share_below) const;

    const clock& time;
    hedging_policy policy;
    std::map<std::string, route_state> routes;
};

} // namespace tanager
