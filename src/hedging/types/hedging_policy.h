#pragma once

#include <set>
#include <string>

namespace tanager {

// What the operators allow for hedging: a second attempt at a request whose first attempt is slow.
struct hedging_policy {
    double max_share = 0;         // hedges per repeatable request of a route; 0 turns hedging off
    std::set<std::string> routes; // that may be hedged; all repeatable ones if empty

    friend bool operator==(const hedging_policy&, const hedging_policy&) = default;
};

} // namespace tanager
