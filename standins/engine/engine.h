// A small fake of a model engine: batches continuously, streams tokens, and cancels a request when its client
// disconnects.
#pragma once

#include "net/event_loop.h"
#include "net/http_exchange.h"
#include "standins/support/execution_counter.h"
#include "standins/support/fault_registry.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <memory>
#include <set>
#include <string>

namespace tanager::standin {

struct engine_options {
    std::uint32_t max_batch_size = 32;                // requests in the batch at the same time
    std::uint32_t prefill_tokens_per_second = 50'000; // of each request
    std::chrono::microseconds token_interval{10'000};
    bool crash_on_marker = false; // a prompt that contains CRASH-ENGINE crashes the process
};

class engine_request;

class engine {
public:
    engine(event_loop& loop, const engine_options& options);

    void serve(const std::shared_ptr<http_exchange>& exchange);

private:
    friend class engine_request;

    void start_queued_requests();
    void on_request_ended(const std::shared_ptr<engine_request>& ended);

    event_loop& loop;
    engine_options options;
    fault_registry faults;
    execution_counter executions;
    std::deque<std::shared_ptr<engine_request>> waiting;
    std::set<std::shared_ptr<engine_request>> running;
};

} // namespace tanager::standin
