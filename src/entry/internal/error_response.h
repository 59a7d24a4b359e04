#pragma once

#include "base/types/result.h"
#include "entry/types/request_types.h"
#include "metrics/metrics_registry.h"

namespace tanager {

// Answers a request with a numbered code, its request id and its outcome.
void send_error_response(const received_request& request,
                         const error& cause,
                         request_outcome outcome,
                         metrics_registry& metrics);

} // namespace tanager
