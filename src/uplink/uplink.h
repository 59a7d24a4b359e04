// What waits to leave this host through its own link.
#pragma once

#include "base/clock.h"

#include <cstddef>

namespace tanager {

// How long bytes need to leave the host.
struct send_delay {
    duration queued{0}; // until what was handed over before has left
    duration own{0};    // for the bytes themselves

    duration total() const
    {
        return this->queued + this->own;
    }

    friend bool operator==(const send_delay&, const send_delay&) = default;
};

// Load pattern: bursts of long prompts at a host whose link is a hundredth of its neighbours'. The link fills
// long before the engines do, and what the kernel holds back cannot be seen from the sockets, so the bytes
// are counted as they are handed over and leave at the link's rate.
class uplink_queue_model {
public:
    // A rate of 0 stands for a link that is never the bottleneck.
    uplink_queue_model(const clock& time, double megabits_per_second);

    // Counts bytes that were handed to the link.
    void record_sent(std::size_t bytes);

    // Returns how long that many bytes would need if they were handed over now.
    send_delay estimate_send_delay(std::size_t bytes) const;

private:
    duration transmission_time(std::size_t bytes) const;

    const clock& time;
    double bytes_per_second;
    time_point queue_empty_at; // when all that was handed over has left
};

} // namespace tanager
