// Estimates how much of their time callers have spent on earlier, rejected attempts.
#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace tanager {

// Most callers of one route start with the same timeout and send what is left of it with each attempt. A
// caller with much less than is typical has spent the difference on earlier attempts. Its latency objective,
// which counts from the first attempt, may be missed already.
class caller_timeout_tracker {
public:
    // Records the caller timeout of one request.
    void record(const std::string& route, std::chrono::milliseconds caller_timeout);

    // Returns by how much `caller_timeout` is below the typical one of the route; 0 while too few requests
    // are recorded.
    std::chrono::milliseconds spent_on_earlier_attempts(const std::string& route,
                                                        std::chrono::milliseconds caller_timeout) const;

    // Removes all routes but these.
    void keep_only(const std::set<std::string>& routes);

private:
    struct route_row {
        std::vector<std::chrono::milliseconds> recent_timeouts; // ring buffer of the last requests
        std::size_t oldest_index = 0;
        std::chrono::milliseconds typical_timeout{0};
    };

    std::map<std::string, route_row> routes;
};

} // namespace tanager
