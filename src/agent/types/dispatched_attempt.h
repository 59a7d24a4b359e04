#pragma once

#include "agent/answer_stream.h"
#include "base/clock.h"
#include "metrics/types/metric_labels.h"
#include "protocol/types/attempt_id.h"

#include <memory>
#include <tanager.pb.h>

namespace tanager {

// One attempt that passes through the agent's filters.
struct dispatched_attempt {
    attempt_id attempt;
    std::shared_ptr<const protocol::dispatch_request> request;
    std::shared_ptr<answer_stream> stream;
    metric_labels labels;
    time_point received_at;
    time_point deadline;
    bool runs_alone = false; // the backend server runs no other attempt at the same time
};

} // namespace tanager
