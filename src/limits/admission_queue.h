// The short queue in front of one backend server.
#pragma once

#include "base/clock.h"
#include "limits/share_limiter.h"
#include "limits/types/queued_attempt.h"

#include <cstdint>
#include <list>
#include <vector>

namespace tanager {

// How much may wait.
struct queue_limits {
    std::size_t max_requests = 64;
    std::size_t max_requests_per_member = 32;

    friend bool operator==(const queue_limits&, const queue_limits&) = default;
};

// Orders waiting work by priority, then by arrival. Work of a member whose share is used up does not hold
// back the work of others behind it.
class admission_queue {
public:
    admission_queue(share_limiter& limiter, const clock& time, const queue_limits& limits);

    // Takes work in. Fails with agent_queue_full when too much waits, with deadline_unreachable when the
    // deadline has passed, and with request_too_large_for_pool when it can never run here.
    result<void> enqueue(const queued_attempt& attempt);

    // Removes and returns the work that may start now, in order, with its pieces acquired.
    std::vector<queued_attempt> dequeue_ready();

    // Removes and returns the work whose deadline has passed.
    std::vector<queued_attempt> drop_expired();

    // Removes work that is no longer wanted; returns whether it was waiting.
    bool remove(std::uint64_t ticket);

    // Removes and returns everything.
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
