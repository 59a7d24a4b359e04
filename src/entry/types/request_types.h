// The messages that pass through an entry's pipeline.
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

// A request as it came in.
struct received_request {
    std::string request_id;
    std::shared_ptr<http_exchange> exchange;
    time_point received_at;
};

// What is sent to a backend server, the same in every attempt.
struct backend_request {
    std::string method;
    std::string path;
    http_headers headers;
    std::string body;

    friend bool operator==(const backend_request&, const backend_request&) = default;
};

// How a request ended, for the `Tanager-Outcome` header.
enum class request_outcome { complete, not_run, unknown };

std::string_view name_of(request_outcome outcome);

// Hears how a request ended, before its caller does.
class outcome_listener {
public:
    outcome_listener() = default;
    outcome_listener(const outcome_listener&) = delete;
    outcome_listener& operator=(const outcome_listener&) = delete;
    outcome_listener(outcome_listener&&) = delete;
    outcome_listener& operator=(outcome_listener&&) = delete;
    virtual ~outcome_listener() = default;

    // The whole answer; its body is empty when it was too long to be collected.
    virtual void on_complete(int status, const std::string& content_type, const std::string& body) = 0;

    virtual void on_incomplete(request_outcome outcome) = 0;
};

// The claim under which a keyed non-idempotent request may run.
struct granted_claim {
    std::string shard;
    std::uint64_t window = 0;

    friend bool operator==(const granted_claim&, const granted_claim&) = default;
};

// A request whose caller, work and cost are known.
struct identified_request {
    received_request received;
    std::shared_ptr<const member_entry> member;
    std::shared_ptr<const work_entry> work;
    std::shared_ptr<const pool_entry> pool;
    std::shared_ptr<const backend_request> backend_message;
    std::uint32_t pieces = 1;
    std::uint64_t prefix_hash = 0;
    std::uint64_t fingerprint = 0; // equal for each resend of the request
    bool is_streaming = false;
    std::string idempotency_key; // empty when the caller gave none
    time_point deadline;
    granted_claim claim;
    std::shared_ptr<outcome_listener> outcome_handler; // null when nobody but the caller wants to know

    metric_labels make_metric_labels() const
    {
        return {this->member->name, this->work->work_class};
    }
};

} // namespace tanager
