// The types that the filters of an entry's request pipeline pass on.
#pragma once

#include "base/clock.h"
#include "catalogue/types/catalogue_entry.h"
#include "metrics/types/metric_labels.h"
#include "net/http_exchange.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace tanager {

// A request as received from the caller.
struct received_request {
    std::string request_id;
    std::shared_ptr<http_exchange> exchange;
    time_point received_at;
};

// The request to the backend server; the same in every attempt.
struct backend_request {
    std::string method;
    std::string path;
    http_headers headers;
    std::string body;

    friend bool operator==(const backend_request&, const backend_request&) = default;
};

// How a request ended; sent to the caller in the `Tanager-Outcome` header.
enum class request_outcome { complete, not_run, unknown };

std::string_view name_of(request_outcome outcome);

// Receives the outcome of a request before the response is sent to its caller.
class outcome_listener {
public:
    outcome_listener() = default;
    outcome_listener(const outcome_listener&) = delete;
    outcome_listener& operator=(const outcome_listener&) = delete;
    outcome_listener(outcome_listener&&) = delete;
    outcome_listener& operator=(outcome_listener&&) = delete;
    virtual ~outcome_listener() = default;

    // Called with the complete response; `body` is empty when it was too long to be buffered.
    virtual void on_complete(int status, const std::string& content_type, const std::string& body) = 0;

    // Called when the request ended without a complete response.
    virtual void on_incomplete(request_outcome outcome) = 0;
};

// The claim that allows a non-idempotent request with an idempotency key to run.
struct granted_claim {
    std::string shard;
    std::uint64_t window = 0;

    friend bool operator==(const granted_claim&, const granted_claim&) = default;
};

// A request whose caller, work entry and cost have been determined.
struct identified_request {
    received_request received;
    std::shared_ptr<const member_entry> member;
    std::shared_ptr<const work_entry> work;
    std::shared_ptr<const pool_entry> pool;
    std::shared_ptr<const backend_request> backend_message;
    std::uint32_t pieces = 1; // estimated cost, in pieces of about 2,000 tokens
    std::uint64_t prefix_hash = 0;
    std::uint64_t fingerprint = 0; // equal for every resend of the same request
    bool is_streaming = false;
    std::string idempotency_key; // empty when the caller sent none
    time_point deadline;
    granted_claim claim;
    std::shared_ptr<outcome_listener> outcome_handler; // null when only the caller needs the outcome

    metric_labels make_metric_labels() const
    {
        return {this->member->name, this->work->work_class};
    }
};

} // namespace tanager
