#include "admission/waiting_line.h"

#include <algorithm>

namespace tanager {

namespace {

// The span over which the rate of releases is measured: some service times of the quickest kind of request.
constexpr std::chrono::milliseconds measured_span{500};
constexpr std::size_t most_releases = 2'000;

} // namespace

waiting_line::waiting_line(const clock& time) : time(time) {}

void waiting_line::record_release()
{
    const auto now = this->time.now();
    this->releases.push_back(now);
    while (this->releases.size() > most_releases || this->releases.front() < now - measured_span) {
        this->releases.pop_front();
    }
}

double waiting_line::releases_per_second() const
{
    const auto oldest = this->time.now() - measured_span;
    const auto recent =
        std::ranges::count_if(this->releases, [&](time_point moment) { return moment >= oldest; });
    return static_cast<double>(recent) / std::chrono::duration<double>(measured_span).count();
}

time_point waiting_line::expected_start(std::uint32_t priority) const
{
    std::size_t ahead = 1;
    for (const auto& [level, requests] : this->by_priority) {
        if (level <= priority) {
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

bool waiting_line::join(const waiting_request& request)
{
    if (this->expected_start(request.priority) > request.latest_start) {
        return false;
    }
    this->by_priority[request.priority].push_back(request);
    return true;
}

std::optional<waiting_request> waiting_line::next() const
{
    for (const auto& [level, requests] : this->by_priority) {
        if (!requests.empty()) {
            return requests.front();
        }
    }
    return std::nullopt;
}

void waiting_line::leave(std::uint64_t ticket)
{
    for (auto& [level, requests] : this->by_priority) {
        std::erase_if(requests, [&](const auto& request) { return request.ticket == ticket; });
    }
}

std::vector<waiting_request> waiting_line::expire()
{
    const auto now = this->time.now();
    std::vector<waiting_request> expired;
    for (auto& [level, requests] : this->by_priority) {
        for (const auto& request : requests) {
            if (request.latest_start < now) {
                expired.push_back(request);
            }
        }
        std::erase_if(requests, [&](const auto& request) { return request.latest_start < now; });
    }
    return expired;
}

std::size_t waiting_line::size() const
{
    std::size_t total = 0;
    for (const auto& [level, requests] : this->by_priority) {
        total += requests.size();
    }
    return total;
}

} // namespace tanager
