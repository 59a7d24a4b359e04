#pragma once

#include "base/sink.h"
#include "entry/types/request_types.h"
#include "metrics/metrics_registry.h"

#include <functional>

namespace tanager {

// Second filter: rejects requests that no agent could ever admit, and bounds the open requests of this
// process.
class limit_filter final : public sink<identified_request> {
public:
    limit_filter(std::size_t max_open_requests,
                 std::function<std::size_t()> count_open_requests,
                 metrics_registry& metrics,
                 sink<identified_request>& next);

    void accept(identified_request request) override;

private:
    result<void> check(const identified_request& request) const;

    std::size_t max_open_requests;
    std::function<std::size_t()> count_open_requests;
    metrics_registry& metrics;
    sink<identified_request>& next;
};

} // namespace tanager
