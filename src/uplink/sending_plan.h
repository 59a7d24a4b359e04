// Decides which requests this host's link carries, and when.
#pragma once

#include "uplink/uplink.h"

#include <cstddef>

namespace tanager {

// What the link would have to carry for one request.
struct link_demand {
    std::size_t request_bytes = 0; // to one server
    std::size_t bytes_ahead = 0;   // of the requests that wait in this gateway and go first
    duration latency_objective{0}; // of the request's route
    duration time_to_start{0};     // until the request has to be on its way

    friend bool operator==(const link_demand&, const link_demand&) = default;
};

// Load pattern: a peak at gateways of which most have a twentieth of the others' bandwidth, and get as many
// requests. Long prompts fill the link of a small host within a tenth of a second, while the engines have
// room, and requests with a shorter objective then queue behind the prompts in the kernel.
//
// Long requests therefore wait in the gateway, where more urgent ones overtake them, and are passed to the
// link one after the other. Those that the link cannot carry in time are refused as soon as they arrive, and
// prompts are not sent to two engines while the link has a queue. None of this applies to a link that is
// never the bottleneck, or is so fast that a request takes next to no time on it.
class sending_plan {
public:
    explicit sending_plan(const uplink_queue_model& link);

    // Returns the longest queue in the kernel behind which requests with this objective are passed to the
    // link.
    static duration max_link_queue(duration latency_objective);

    // Returns whether the request may be passed to the link now rather than wait in the gateway.
    bool may_send_now(const link_demand& demand) const;

    // Returns whether a request that arrives now would be on its way in time.
    bool can_carry_in_time(const link_demand& demand) const;

    // Returns whether the request may go to a prefill engine and again to a decode engine.
    bool may_send_twice(const link_demand& demand) const;

    // Returns how long a request would wait for the link behind `bytes_ahead`.
    duration expected_wait(std::size_t bytes_ahead) const;

private:
    bool is_long(const link_demand& demand, const send_delay& delay) const;

    const uplink_queue_model& link;
};

} // namespace tanager
