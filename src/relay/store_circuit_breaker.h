// Bounds the calls of one gateway to a store that does not answer.
#pragma once

#include "base/clock.h"
#include "base/random_source.h"

#include <chrono>

namespace tanager {

// Load pattern: the store does not answer for seconds, and each gateway follows several kinds of objects
// there. If each kind were retried by itself, the calls of the outage would grow with the kinds, and a
// gateway that starts would wait for the last of several retries. While the circuit is open, one call at a
// time is made as a probe; the answer to any call closes it.
class store_circuit_breaker {
public:
    // What the caller lacks while the store does not answer it: all that a gateway needs before it takes
    // requests, changes, or nothing.
    enum class urgency { starting, urgent, relaxed };

    // The references must outlive the breaker.
    store_circuit_breaker(const clock& time, random_source& random);

    bool is_open() const;

    // Returns when the circuit opened last.
    time_point opened_at() const;

    // Returns whether a call may be made now.
    bool may_call(urgency wanted) const;

    // Records that a call begins; returns whether it is the probe.
    bool begin_call();

    // Record the result of a call.
    void record_answer(bool was_probe);
    void record_failure(bool was_probe);

private:
    const clock& time;
    random_source& random;
    unsigned failures_in_row = 0;
    bool is_probing = false;
    time_point last_opened_at;
    time_point starting_probe_at;
    time_point urgent_probe_at;
    time_point relaxed_probe_at;
};

} // namespace tanager
