// HTTP endpoints for operators and the load balancer: /healthz and /metrics.
#pragma once

#include "logging/logging_invariant_monitor.h"
#include "metrics/metrics_registry.h"
#include "net/http_exchange.h"

#include <functional>

namespace tanager {

class admin_endpoints {
public:
    // `not_ready_reason` returns why the process is not ready, or an empty text if it is. `update_gauges` is
    // called before each rendering of /metrics. `metrics` and `invariants` must outlive this object.
    admin_endpoints(metrics_registry& metrics,
                    const logging_invariant_monitor& invariants,
                    std::function<std::string()> not_ready_reason,
                    std::function<void()> update_gauges);

    // Responds if the request is for one of the endpoints. Returns whether it was.
    bool serve(http_exchange& exchange) const;

private:
    metrics_registry& metrics;
    const logging_invariant_monitor& invariants;
    std::function<std::string()> not_ready_reason;
    std::function<void()> update_gauges;
};

} // namespace tanager
