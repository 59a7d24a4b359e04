#include "admission/caller_timeout_tracker.h"

#include <algorithm>

namespace tanager {

namespace {

constexpr std::size_t max_recent_timeouts = 64;
// The 75th percentile: in an overload, up to half of the requests are retries with less time left, and a few
// callers have longer timeouts than the others.
constexpr std::size_t typical_rank = max_recent_timeouts * 3 / 4;

} // namespace

void caller_timeout_tracker::record(const std::string& route, std::chrono::milliseconds caller_timeout)
{
    auto& row = this->routes[route];
    if (row.recent_timeouts.size() < max_recent_timeouts) {
        row.recent_timeouts.push_back(caller_timeout);
    } else {
        row.recent_timeouts[row.oldest_index] = caller_timeout;
        row.oldest_index = (row.oldest_index + 1) % max_recent_timeouts;
    }
    if (row.recent_timeouts.size() < max_recent_timeouts) {
        return;
    }
    auto sorted = row.recent_timeouts;
    const auto at_typical_rank = sorted.begin() + typical_rank;
    std::ranges::nth_element(sorted, at_typical_rank);
    row.typical_timeout = *at_typical_rank;
}

std::chrono::milliseconds
caller_timeout_tracker::spent_on_earlier_attempts(const std::string& route,
                                                  std::chrono::milliseconds caller_timeout) const
{
    const auto row = this->routes.find(route);
    const auto typical_timeout =
        row == this->routes.end() ? std::chrono::milliseconds{0} : row->second.typical_timeout;
    return std::max(typical_timeout - caller_timeout, std::chrono::milliseconds{0});
}

void caller_timeout_tracker::keep_only(const std::set<std::string>& routes)
{
    std::erase_if(this->routes, [&](const auto& row) { return !routes.contains(row.first); });
}

} // namespace tanager
