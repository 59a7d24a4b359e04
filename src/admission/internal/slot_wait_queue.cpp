#include "admission/slot_wait_queue.h"

#include <algorithm>

namespace tanager {

namespace {

// A few service times of the shortest kind of request.
constexpr std::chrono::milliseconds release_rate_window{500};
constexpr std::size_t max_recorded_releases = 2'000;

} // namespace

slot_wait_queue::slot_wait_queue(const clock& time) : time(time) {}

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
    std::size_t ahead = 1;
    for (const auto& [queue_priority, requests] : this->by_priority) {
        if (queue_priority <= priority) {
            ahead += requests.size();
        }
    }
    const double rate = this->releases_per_second();
    if (rate <= 0) {
        return time_point::max();
    }
    const std::chrono::duration<double> wait{static_cast<double>(ahead) / rate};
    return this->time.now() + std::chrono::duration_cast<duration>(wait);
}

bool slot_wait_queue::try_push(const waiting_request& request)
{
    if (this->estimate_start_time(request.priority) > request.start_deadline) {
        return false;
    }
    this->by_priority[request.priority].push_back(request);
    return true;
}

std::optional<waiting_request> slot_wait_queue::front() const
{
    for (const auto& [queue_priority, requests] : this->by_priority) {
        if (!requests.empty()) {
            return requests.front();
        }
    }
    return std::nullopt;
}

void slot_wait_queue::remove(std::uint64_t ticket)
{
    for (auto& [queue_priority, requests] : this->by_priority) {
        std::erase_if(requests, [&](const auto& request) { return request.ticket == ticket; });
    }
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
