// Decides which requests wait for a place, which go next, and which are rejected at once.
#pragma once

#include "base/clock.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace tanager {

// A request that no server has a place for at the moment.
struct waiting_request {
    std::uint64_t ticket = 0;
    std::uint32_t priority = 0; // 0 is the most urgent
    time_point start_deadline;  // a later start misses the request's objective

    friend bool operator==(const waiting_request&, const waiting_request&) = default;
};

// Load pattern: bursts of several times what the servers of a service hold, seconds long. Places come free at
// a measured rate; a request waits only while its turn is expected before its latest start, so that a burst
// leaves no queue of requests that have missed their objective. The most urgent go first, in the order of
// arrival.
class slot_wait_queue {
public:
    explicit slot_wait_queue(const clock& time);

    // Records that a server has finished a request, which gives its place to the next one.
    void record_slot_release();

    // Returns when a request that joins now would start, as far as the last seconds tell.
    time_point estimate_start_time(std::uint32_t priority) const;

    // Joins the line if the request can start in time; returns whether it did.
    bool try_push(const waiting_request& request);

    // Returns the request that goes next, without taking it out.
    std::optional<waiting_request> front() const;

    void remove(std::uint64_t ticket);

    // Takes out the requests whose latest start has passed.
    std::vector<waiting_request> remove_expired();

    std::size_t size() const;

private:
    double releases_per_second() const;

    const clock& time;
    std::map<std::uint32_t, std::deque<waiting_request>> by_priority;
    std::deque<time_point> releases; // those of the last measured span
};

} // namespace tanager
