#pragma once

#include "base/sink.h"
#include "entry/types/request_types.h"
#include "metrics/metrics_registry.h"
#include "quarantine/crash_history.h"

namespace tanager {

// Sets the fingerprint of each request, and rejects requests that were running during two crashes of
// backend servers.
class quarantine_filter final : public sink<identified_request> {
public:
    quarantine_filter(const crash_history& crashes,
                      metrics_registry& metrics,
                      sink<identified_request>& next);

    void accept(identified_request request) override;

private:
    const crash_history& crashes;
    metrics_registry& metrics;
    sink<identified_request>& next;
};

} // namespace tanager
