// The queue of attempts in front of one backend server.
#pragma once

#include "base/clock.h"
#include "limits/share_limiter.h"
#include "limits/types/queued_attempt.h"

#include <cstdint>
#include <list>
#include <vector>

namespace tanager {

// Bounds on the attempts that wait in one queue.
struct queue_limits {
    std::size_t max_requests = 64;
    std::size_t max_requests_per_member = 32;

    friend bool operator==(const queue_limits&, const queue_limits&) = default;
};

// Orders waiting attempts by priority, then by arrival. Attempts of a member whose share is used up do not
// block attempts of other members behind them; an exclusive attempt blocks every attempt behind it.
class admission_queue {
public:
    admission_queue(share_limiter& limiter, const clock& time, const queue_limits& limits);

    // Adds an attempt. Fails with agent_queue_full when a bound of the queue is reached, with
    // deadline_unreachable when the deadline has passed, and with request_too_large_for_pool when the attempt
    // exceeds its member's share or the capacity.
    result<void> enqueue(const queued_attempt& attempt);

    // Removes and returns the attempts that may start now, in order; their pieces are acquired.
    std::vector<queued_attempt> dequeue_ready();

    // Removes and returns the attempts whose deadline has passed.
    std::vector<queued_attempt> drop_expired();

    // Removes a cancelled attempt; returns whether it was waiting.
    bool remove(std::uint64_t ticket);

    // Removes and returns all attempts.
    std::vector<queued_attempt> remove_all();

    std::size_t size() const;

private:
    std::size_t count_waiting(const std::string& member) const;

    share_limiter& limiter;
    const clock& time;
    queue_limits limits;
    std::list<queued_attempt> waiting;
};

} // namespace tanager
