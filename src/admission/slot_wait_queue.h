// Queues requests until a slot is free, and rejects those that would start too late.
#pragma once

#include "admission/organisation_shares.h"
#include "base/clock.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace tanager {

// A request for which no server has a free slot at the moment.
struct waiting_request {
    std::uint64_t ticket = 0;
    std::uint32_t priority = 0; // 0 is the most urgent
    time_point start_deadline;  // a later start misses the latency objective
    std::string organisation{}; // empty if the request needs none

    friend bool operator==(const waiting_request&, const waiting_request&) = default;
};

// Load pattern: bursts of seconds with several times as many requests as the servers of a service have slots.
// The rate at which slots are released is measured. A request is queued only if its start is expected before
// its start deadline, so that a burst leaves no queue of requests that have missed their objective. Requests
// start by priority, then by the shares of their organisations, then in the order of arrival.
class slot_wait_queue {
public:
    // Without `shares`, all requests count as those of one organisation.
    explicit slot_wait_queue(const clock& time, const organisation_shares* shares = nullptr);

    // Records that a server has finished a request, which frees its slot.
    void record_slot_release();

    // Returns when a request that is queued now would start at the recent release rate; time_point::max() if
    // no slot was released recently.
    time_point estimate_start_time(std::uint32_t priority) const;

    // Returns how many requests would start before a request that is queued now.
    std::size_t count_ahead(std::uint32_t priority, const std::string& organisation) const;

    // Queues the request if it is expected to start in time; returns whether it was queued.
    bool try_push(const waiting_request& request);

    // Queues the request although slots may be released too slowly for it, since it waits for something else.
    void push(const waiting_request& request);

    // Returns the request that starts next, without removing it.
    std::optional<waiting_request> front() const;

    void remove(std::uint64_t ticket);

    // Removes and returns the requests that would start too late since requests of other organisations have
    // gone before them.
    std::vector<waiting_request> remove_displaced();

    // Removes and returns the requests whose start deadline has passed.
    std::vector<waiting_request> remove_expired();

    std::size_t size() const;

private:
    double releases_per_second() const;
    time_point start_time_after(std::size_t ahead) const;
    std::vector<double> rank_all(const std::deque<waiting_request>& requests) const;
    bool has_several_organisations(const std::deque<waiting_request>& requests) const;

    const clock& time;
    const organisation_shares* shares;
    std::map<std::uint32_t, std::deque<waiting_request>> by_priority;
    std::deque<time_point> releases; // within the rate window, oldest first
};

} // namespace tanager
