#include "admission/slot_wait_queue.h"

#include <algorithm>
#include <string_view>

namespace tanager {

namespace {

// A few service times of the shortest kind of request.
constexpr std::chrono::milliseconds release_rate_window{500};
constexpr std::size_t max_recorded_releases = 2'000;

} // namespace

slot_wait_queue::slot_wait_queue(const clock& time, const organisation_shares* shares)
    : time(time), shares(shares)
{
}

void slot_wait_queue::record_slot_release()
{
    const auto now = this->time.now();
    this->releases.push_back(now);
    while (this->releases.size() > max_recorded_releases ||
           this->releases.front() < now - release_rate_window) {
        this->releases.pop_front();
    }
}

double slot_wait_queue::releases_per_second() const
{
    const auto oldest = this->time.now() - release_rate_window;
    const auto recent =
        std::ranges::count_if(this->releases, [&](time_point released_at) { return released_at >= oldest; });
    return static_cast<double>(recent) / std::chrono::duration<double>(release_rate_window).count();
}

time_point slot_wait_queue::estimate_start_time(std::uint32_t priority) const
{
    std::size_t ahead = 0;
    for (const auto& [queue_priority, requests] : this->by_priority) {
        if (queue_priority <= priority) {
            ahead += requests.size();
        }
    }
    return this->start_time_after(ahead);
}

// Returns when a request starts after this many others.
time_point slot_wait_queue::start_time_after(std::size_t ahead) const
{
    const double rate = this->releases_per_second();
    if (rate <= 0) {
        return time_point::max();
    }
    const std::chrono::duration<double> wait{static_cast<double>(ahead + 1) / rate};
    return this->time.now() + std::chrono::duration_cast<duration>(wait);
}

bool slot_wait_queue::has_several_organisations(const std::deque<waiting_request>& requests) const
{
    return this->shares != nullptr && std::ranges::any_of(requests, [&](const auto& request) {
               return request.organisation != requests.front().organisation;
           });
}

// Returns the ranks of requests of one priority, in their order.
std::vector<double> slot_wait_queue::rank_all(const std::deque<waiting_request>& requests) const
{
    std::map<std::string_view, std::size_t> queued;
    std::vector<double> ranks;
    ranks.reserve(requests.size());
    for (const auto& request : requests) {
        ranks.push_back(this->shares->rank(request.organisation, queued[request.organisation]++));
    }
    return ranks;
}

std::size_t slot_wait_queue::count_ahead(std::uint32_t priority, const std::string& organisation) const
{
    std::size_t ahead = 0;
    for (const auto& [queue_priority, requests] : this->by_priority) {
        const bool is_shared = this->shares != nullptr && queue_priority == priority &&
                               std::ranges::any_of(requests, [&](const auto& request) {
                                   return request.organisation != organisation;
                               });
        if (!is_shared) {
            ahead += queue_priority <= priority ? requests.size() : 0;
            continue;
        }
        const auto own = std::ranges::count(requests, organisation, &waiting_request::organisation);
        const double rank = this->shares->rank(organisation, static_cast<std::size_t>(own));
        const auto ranks = this->rank_all(requests);
        ahead += static_cast<std::size_t>(
            std::ranges::count_if(ranks, [&](double other_rank) { return other_rank <= rank; }));
    }
    return ahead;
}

bool slot_wait_queue::try_push(const waiting_request& request)
{
    if (this->start_time_after(this->count_ahead(request.priority, request.organisation)) >
        request.start_deadline) {
        return false;
    }
    this->push(request);
    return true;
}

void slot_wait_queue::push(const waiting_request& request)
{
    this->by_priority[request.priority].push_back(request);
}

std::optional<waiting_request> slot_wait_queue::front() const
{
    for (const auto& [queue_priority, requests] : this->by_priority) {
        if (requests.empty()) {
            continue;
        }
        if (!this->has_several_organisations(requests)) {
            return requests.front();
        }
        const auto ranks = this->rank_all(requests);
        return requests[static_cast<std::size_t>(std::ranges::min_element(ranks) - ranks.begin())];
    }
    return std::nullopt;
}

void slot_wait_queue::remove(std::uint64_t ticket)
{
    for (auto& [queue_priority, requests] : this->by_priority) {
        std::erase_if(requests, [&](const auto& request) { return request.ticket == ticket; });
    }
}

std::vector<waiting_request> slot_wait_queue::remove_displaced()
{
    std::vector<waiting_request> displaced;
    std::size_t ahead = 0;
    for (auto& [queue_priority, requests] : this->by_priority) {
        while (this->has_several_organisations(requests)) {
            const auto ranks = this->rank_all(requests);
            // Of equals, the one that came last.
            const auto last = std::max_element(ranks.rbegin(), ranks.rend());
            const auto found = requests.begin() + (std::distance(last, ranks.rend()) - 1);
            if (this->start_time_after(ahead + requests.size() - 1) <= found->start_deadline) {
                break;
            }
            displaced.push_back(*found);
            requests.erase(found);
        }
        ahead += requests.size();
    }
    return displaced;
}

std::vector<waiting_request> slot_wait_queue::remove_expired()
{
    const auto now = this->time.now();
    std::vector<waiting_request> expired;
    for (auto& [queue_priority, requests] : this->by_priority) {
        for (const auto& request : requests) {
            if (request.start_deadline < now) {
                expired.push_back(request);
            }
        }
        std::erase_if(requests, [&](const auto& request) { return request.start_deadline < now; });
    }
    return expired;
}

std::size_t slot_wait_queue::size() const
{
    std::size_t total = 0;
    for (const auto& [queue_priority, requests] : this->by_priority) {
        total += requests.size();
    }
    return total;
}

} // namespace tanager
