// Estimates the queue of bytes that wait for this host's outgoing link.
#pragma once

#include "base/clock.h"

#include <cstddef>

namespace tanager {

// The time until bytes have left the host.
struct send_delay {
    duration queued{0}; // until the bytes queued before have left
    duration own{0};    // transmission time of the bytes themselves

    duration total() const
    {
        return this->queued + this->own;
    }

    friend bool operator==(const send_delay&, const send_delay&) = default;
};

// Models the outgoing link as a queue that drains at the link's rate.
//
// Load pattern: bursts of long prompts at a host whose link has a hundredth of its neighbours' bandwidth. The
// link is saturated long before the engines are. The sockets do not show how many bytes the kernel still
// holds, so bytes are counted when they are passed to the link.
class uplink_queue_model {
public:
    // A rate of 0 means that the link is never the bottleneck; all delays are then 0.
    uplink_queue_model(const clock& time, double megabits_per_second);

    // Adds bytes that have been passed to the link.
    void record_sent(std::size_t bytes);

    // Returns the delay for bytes that would be passed to the link now, without adding them.
    send_delay estimate_send_delay(std::size_t bytes) const;

private:
    duration transmission_time(std::size_t bytes) const;

    const clock& time;
    double bytes_per_second;
    time_point queue_empty_at; // when all bytes added so far have left
};

} // namespace tanager
