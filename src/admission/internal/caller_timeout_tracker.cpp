#include "admission/caller_timeout_tracker.h"

#include <algorithm>

namespace tanager {

namespace {

constexpr std::size_t remembered = 64;
// In an overload up to half of the requests are second attempts, and a few callers have more time than
// others.
constexpr std::size_t usual_rank = remembered * 3 / 4;

} // namespace

void caller_timeout_tracker::record(const std::string& route, std::chrono::milliseconds patience)
{
    auto& row = this->routes[route];
    if (row.recent.size() < remembered) {
        row.recent.push_back(patience);
    } else {
        row.recent[row.next] = patience;
        row.next = (row.next + 1) % remembered;
    }
    if (row.recent.size() < remembered) {
        return;
    }
    auto sorted = row.recent;
    const auto at_rank = sorted.begin() + usual_rank;
    std::ranges::nth_element(sorted, at_rank);
    row.usual = *at_rank;
}

std::chrono::milliseconds
caller_timeout_tracker::spent_on_earlier_attempts(const std::string& route,
                                                  std::chrono::milliseconds patience) const
{
    const auto row = this->routes.find(route);
    const auto usual = row == this->routes.end() ? std::chrono::milliseconds{0} : row->second.usual;
    return std::max(usual - patience, std::chrono::milliseconds{0});
}

void caller_timeout_tracker::keep_only(const std::set<std::string>& routes)
{
    std::erase_if(this->routes, [&](const auto& row) { return !routes.contains(row.first); });
}

} // namespace tanager
