// The pages that operators and the balancer read: /healthz and /metrics.
#pragma once

#include "logging/logging_invariant_monitor.h"
#include "metrics/metrics_registry.h"
#include "net/http_exchange.h"

#include <functional>

namespace tanager {

class admin_endpoints {
public:
    // `refusal` returns why the process is not ready, or an empty text; `refresh` sets the gauges before a
    // scrape.
    admin_endpoints(metrics_registry& metrics,
                    const logging_invariant_monitor& invariants,
                    std::function<std::string()> not_ready_reason,
                    std::function<void()> update_gauges);

    // Answers the request when it is for one of the pages; returns whether it was.
    bool serve(http_exchange& exchange) const;

private:
    metrics_registry& metrics;
    const logging_invariant_monitor& invariants;
    std::function<std::string()> not_ready_reason;
    std::function<void()> update_gauges;
};

} // namespace tanager
