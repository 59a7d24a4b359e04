#pragma once

#include "agent/attempt_registry.h"
#include "agent/types/dispatched_attempt.h"
#include "base/clock.h"
#include "base/sink.h"
#include "limits/admission_queue.h"
#include "limits/share_limiter.h"
#include "metrics/metrics_registry.h"
#include "net/event_loop.h"

#include <cstdint>
#include <map>
#include <memory>

namespace tanager {

// Second filter: queues attempts until their member's share and the backend server have enough free pieces.
class queue_filter final : public sink<dispatched_attempt> {
public:
    queue_filter(event_loop& loop,
                 const clock& time,
                 share_limiter& limiter,
                 const queue_limits& limits,
                 attempt_registry& registry,
                 metrics_registry& metrics,
                 sink<dispatched_attempt>& next);

    void accept(dispatched_attempt work) override;

    // Passes on the attempts that fit now. Must be called whenever pieces were released or shares were
    // raised.
    void dispatch_ready();

    // Refuses every queued attempt.
    void refuse_all(const error& cause);

    std::size_t size() const;

private:
    void on_cancelled(std::uint64_t ticket);
    void refuse_expired();
    void refuse(std::uint64_t ticket, const error& cause);

    event_loop& loop;
    const clock& time;
    attempt_registry& registry;
    metrics_registry& metrics;
    sink<dispatched_attempt>& next;
    admission_queue queue;
    std::map<std::uint64_t, dispatched_attempt> queued_attempts;
    std::uint64_t last_ticket = 0;
    std::unique_ptr<loop_timer> expiry_timer;
};

} // namespace tanager
