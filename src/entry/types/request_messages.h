// The messages that pass through an entry's pipeline.
#pragma once

#include "base/clock.h"
#include "catalogue/types/catalogue_entry.h"
#include "metrics/types/metric_label.h"
#include "net/http_exchange.h"

#include <cstdint>
#include <memory>
#include <string>

namespace tanager {

// A request as it came in.
struct received_request {
    std::string request_id;
    std::shared_ptr<http_exchange> exchange;
    time_point received;
};

// What is sent to a backend server, the same in every attempt.
struct backend_request {
    std::string method;
    std::string path;
    http_headers headers;
    std::string body;

    friend bool operator==(const backend_request&, const backend_request&) = default;
};

// A request whose caller, work and cost are known.
struct identified_request {
    received_request received;
    std::shared_ptr<const member_entry> member;
    std::shared_ptr<const work_entry> work;
    std::shared_ptr<const pool_entry> pool;
    std::shared_ptr<const backend_request> backend;
    std::uint32_t pieces = 1;
    std::uint64_t prefix_hash = 0;
    bool wants_stream = false;
    std::string idempotency_key; // empty when the caller gave none
    time_point deadline;

    metric_label label() const {
        return {this->member->name, this->work->work_class};
    }
};

// How a request ended, for the `Tanager-Outcome` header.
enum class request_outcome { complete, not_run, unknown };

std::string_view name_of(request_outcome outcome);

} // namespace tanager
