// Tells callers that have been rejected before from those that come for the first time.
#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace tanager {

// Callers of one route have the same time for a request, and say what is left of it. One that says much less
// than is usual has spent the rest on an earlier attempt: its objective, which counts from the first attempt,
// may be lost already.
class caller_timeout_tracker {
public:
    void record(const std::string& route, std::chrono::milliseconds caller_timeout);

    // Returns what a caller with that patience has spent before.
    std::chrono::milliseconds spent_on_earlier_attempts(const std::string& route,
                                                        std::chrono::milliseconds caller_timeout) const;

    // Forgets the routes that are not in force any more.
    void keep_only(const std::set<std::string>& routes);

private:
    struct route_row {
        std::vector<std::chrono::milliseconds> recent_timeouts; // a ring of the last requests
        std::size_t oldest_index = 0;
        std::chrono::milliseconds typical_timeout{0};
    };

    std::map<std::string, route_row> routes;
};

} // namespace tanager
