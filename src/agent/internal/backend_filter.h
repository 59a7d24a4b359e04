#pragma once

#include "agent/attempt_registry.h"
#include "agent/internal/backend_health_monitor.h"
#include "agent/types/dispatched_attempt.h"
#include "base/clock.h"
#include "base/sink.h"
#include "catalogue/catalogue.h"
#include "limits/share_limiter.h"
#include "metrics/metrics_registry.h"
#include "net/event_loop.h"
#include "net/http_client.h"
#include "quarantine/crash_history.h"

#include <functional>

namespace tanager {

struct backend_call_result;

// Last filter: dispatches attempts to the backend server. Nothing else sends work to that server.
class backend_filter final : public sink<dispatched_attempt> {
public:
    backend_filter(event_loop& loop,
                   const clock& time,
                   http_client& client,
                   socket_address backend,
                   const catalogue& local_catalogue,
                   share_limiter& limiter,
                   attempt_registry& registry,
                   backend_health_monitor& monitor,
                   crash_history& crashes,
                   metrics_registry& metrics);

    void accept(dispatched_attempt work) override;

    // Sets the callback for each time that an attempt has ended and its pieces were released.
    void on_capacity_released(std::function<void()> callback);

    // Called for each request that was running when the backend server crashed. The attempt is answered only
    // when `announced` has been called.
    using crash_announcer = std::function<void(const crash_report& report, std::function<void()> announced)>;
    void on_crash(crash_announcer callback);

    // Returns the number of attempts that the backend server is running.
    std::size_t running_count() const;

private:
    void diagnose_lost_call(std::uint64_t fingerprint,
                            const backend_health_monitor::crash_callback& callback);
    void on_done(const dispatched_attempt& work, const backend_call_result& outcome);

    event_loop& loop;
    const clock& time;
    http_client& client;
    socket_address backend;
    const catalogue& local_catalogue;
    share_limiter& limiter;
    attempt_registry& registry;
    backend_health_monitor& monitor;
    crash_history& crashes;
    metrics_registry& metrics;
    std::size_t running_attempts = 0;
    std::function<void()> capacity_released_callback;
    crash_announcer announce_crash;
};

} // namespace tanager
