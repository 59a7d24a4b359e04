#pragma once

#include "base/sink.h"
#include "entry/types/request_types.h"
#include "metrics/metrics_registry.h"
#include "quarantine/crash_history.h"

namespace tanager {

// Gives each request its fingerprint, and refuses those that were running at two crashes.
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
