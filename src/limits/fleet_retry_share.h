// Divides the retries that all gateways together may use among them.
#pragma once

#include "base/clock.h"
#include "limits/retry_budget.h"

#include <chrono>
#include <cstddef>
#include <optional>

namespace tanager {

// A service gets at most `retries_per_request` times its requests and `slack` repeated arrivals in any
// window, from all gateways.
struct fleet_retry_bound {
    double retries_per_request = 0.2;
    double slack = 50;
    std::chrono::milliseconds window{10'000};

    friend bool operator==(const fleet_retry_bound&, const fleet_retry_bound&) = default;
};

// Load pattern: servers refuse most attempts of all gateways for seconds, while requests come in bursts, most
// of them to few gateways, and gateways restart in series. A gateway's share is what its balance may hold
// plus what a window adds to it without requests; the shares of all gateways stay below the slack. Without a
// number of gateways, for which nullopt stands, a gateway has only what its requests earn, and holds one
// retry. A bound that leaves no whole retry for each gateway allows none.
retry_allowance share_of_fleet(const fleet_retry_bound& bound, std::optional<std::size_t> gateway_count);

// Load pattern: gateways are killed in series or cut off from each other, so that each hears only some of the
// others. The largest number that was seen in the last minutes counts, since a gateway that is not heard may
// still use its share.
class gateway_count_tracker {
public:
    // `live_peers` are the other gateways that report now, and `listed_peers` those in the store's list,
    // which still names some that have ended for good; nullopt before the list is known. The list counts only
    // in the first minutes of the process.
    void record(time_point now, std::size_t live_peers, std::optional<std::size_t> listed_peers);

    // Returns the number of gateways, this one included; nullopt shortly after the start, when the others may
    // not be listed yet.
    std::optional<std::size_t> count(time_point now) const;

    // Returns the time since that number was last seen.
    duration age(time_point now) const;

private:
    // The largest number in a span of time.
    struct span_maximum {
        std::size_t count = 0;
        time_point seen_at;
    };

    const span_maximum& largest() const;

    std::optional<time_point> first_listed_at;
    time_point span_started_at;
    span_maximum current_span;
    span_maximum previous_span;
};

} // namespace tanager
