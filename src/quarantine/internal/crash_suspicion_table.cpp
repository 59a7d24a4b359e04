#include "quarantine/crash_suspicion_table.h"

#include <algorithm>
#include <utility>

namespace tanager {

namespace {

// One server may end by coincidence. Whether a silent server has ended is less certain: it may be cut off.
constexpr std::ptrdiff_t min_confirmed_ends = 2;
constexpr std::size_t min_ends = 3;
// More ends of one request make no difference.
constexpr std::size_t max_ends = 4;
// A crash suspects each request that ran on the server.
constexpr std::size_t max_requests = 1'024;

} // namespace

crash_suspicion_table::crash_suspicion_table(const clock& time, duration retention)
    : time(time), retention(retention)
{
}

bool crash_suspicion_table::is_quarantined(const std::vector<server_end>& ends)
{
    return ends.size() >= min_ends ||
           std::ranges::count_if(ends, &server_end::is_confirmed) >= min_confirmed_ends;
}

bool crash_suspicion_table::add_end(std::vector<server_end>& ends, const server_end& end)
{
    const auto known = std::ranges::find(ends, end.server, &server_end::server);
    if (known == ends.end()) {
        if (ends.size() == max_ends) {
            return false;
        }
        ends.push_back(end);
        return true;
    }
    const bool is_news = end.is_confirmed && !known->is_confirmed;
    known->is_confirmed = known->is_confirmed || end.is_confirmed;
    return is_news;
}

bool crash_suspicion_table::record_end(std::uint64_t fingerprint, const server_end& end)
{
    auto& request = this->requests[fingerprint];
    if (!add_end(request.ends, end)) {
        return false;
    }
    request.changed_at = this->time.now();
    this->drop_least_relevant();
    return true;
}

bool crash_suspicion_table::clear(std::uint64_t fingerprint)
{
    const auto found = this->requests.find(fingerprint);
    if (found == this->requests.end() || found->second.ends.empty()) {
        return false;
    }
    ++found->second.clearances;
    found->second.ends.clear();
    found->second.changed_at = this->time.now();
    return true;
}

bool crash_suspicion_table::merge(const crash_suspicion& received)
{
    const auto changed_at = this->time.now() - received.age;
    if (received.age >= this->retention) {
        return false;
    }
    auto& request = this->requests[received.fingerprint];
    if (received.clearances < request.clearances) {
        return false;
    }
    bool is_news = received.clearances > request.clearances;
    if (is_news) {
        request.clearances = received.clearances;
        request.ends.clear();
    }
    for (const auto& end : received.ends) {
        is_news = add_end(request.ends, end) || is_news;
    }
    request.changed_at = std::max(request.changed_at, changed_at);
    this->drop_least_relevant();
    return is_news;
}

duration crash_suspicion_table::quarantine_left(std::uint64_t fingerprint,
                                                const std::vector<server_end>& pending) const
{
    const auto found = this->requests.find(fingerprint);
    if (found == this->requests.end()) {
        return is_quarantined(pending) ? this->retention : duration{0};
    }
    const auto left = found->second.changed_at + this->retention - this->time.now();
    auto ends = left > duration{0} ? found->second.ends : std::vector<server_end>{};
    for (const auto& end : pending) {
        add_end(ends, end);
    }
    return is_quarantined(ends) ? std::max(left, duration{0}) : duration{0};
}

std::optional<crash_suspicion> crash_suspicion_table::find(std::uint64_t fingerprint) const
{
    const auto found = this->requests.find(fingerprint);
    return found == this->requests.end() ? std::nullopt
                                         : std::optional{this->to_suspicion(fingerprint, found->second)};
}

crash_suspicion crash_suspicion_table::to_suspicion(std::uint64_t fingerprint,
                                                    const suspected_request& request) const
{
    const auto age =
        std::chrono::duration_cast<std::chrono::milliseconds>(this->time.now() - request.changed_at);
    return {fingerprint, request.clearances, request.ends, age};
}

std::vector<crash_suspicion> crash_suspicion_table::most_relevant(std::size_t max_count) const
{
    std::vector<std::pair<std::uint64_t, const suspected_request*>> ordered;
    for (const auto& [fingerprint, request] : this->requests) {
        ordered.emplace_back(fingerprint, &request);
    }
    std::ranges::sort(ordered, [](const auto& left, const auto& right) {
        return std::pair{is_quarantined(left.second->ends), left.second->changed_at} >
               std::pair{is_quarantined(right.second->ends), right.second->changed_at};
    });
    std::vector<crash_suspicion> selected;
    for (const auto& [fingerprint, request] : ordered) {
        if (selected.size() == max_count) {
            break;
        }
        selected.push_back(this->to_suspicion(fingerprint, *request));
    }
    return selected;
}

std::size_t crash_suspicion_table::quarantined_count() const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        this->requests, [](const auto& request) { return is_quarantined(request.second.ends); }));
}

bool crash_suspicion_table::is_empty() const
{
    return this->requests.empty();
}

void crash_suspicion_table::remove_expired()
{
    std::erase_if(this->requests, [this](const auto& request) {
        return this->time.now() - request.second.changed_at >= this->retention;
    });
}

void crash_suspicion_table::drop_least_relevant()
{
    if (this->requests.size() <= max_requests) {
        return;
    }
    this->requests.erase(std::ranges::min_element(this->requests, {}, [](const auto& request) {
        return std::pair{is_quarantined(request.second.ends), request.second.changed_at};
    }));
}

} // namespace tanager
