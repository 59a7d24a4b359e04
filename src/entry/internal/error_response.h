#pragma once

#include "base/types/result.h"
#include "entry/types/request_types.h"
#include "metrics/metrics_registry.h"

namespace tanager {

// Sends an error response with the numeric result code, the request id and the outcome, and logs and counts
// it.
void send_error_response(const received_request& request,
                         const error& cause,
                         request_outcome outcome,
                         metrics_registry& metrics);

} // namespace tanager
