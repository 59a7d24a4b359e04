// The configuration in force: which requests go to which service, and what may be done with them.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace tanager {

// What may be repeated follows from this alone.
enum class route_kind {
    idempotent,     // may run any number of times
    non_idempotent, // may run once
    streaming       // answers with events; may run once unless it may be resumed
};

// One of the services that share a route's requests.
struct weighted_service {
    std::string service;
    std::uint32_t weight = 1;

    friend bool operator==(const weighted_service&, const weighted_service&) = default;
};

struct route {
    std::string name;
    std::string host;
    std::string path_prefix;
    route_kind kind = route_kind::non_idempotent;
    bool is_resumable = false; // streaming only: may go on at another server after a known event
    std::chrono::milliseconds timeout{0};
    std::chrono::milliseconds latency_objective{0}; // to the whole answer, or to a stream's first event
    std::chrono::milliseconds gap_objective{0};     // streaming only: between two events
    std::uint32_t priority = 0;                     // 0 is the most urgent
    std::uint32_t max_attempts = 1;
    std::vector<weighted_service> services;

    // Returns whether a request may run again after it may have run.
    bool is_repeatable() const
    {
        return this->kind == route_kind::idempotent ||
               (this->kind == route_kind::streaming && this->is_resumable);
    }

    friend bool operator==(const route&, const route&) = default;
};

struct service_config {
    std::string name;
    bool is_model = false;

    friend bool operator==(const service_config&, const service_config&) = default;
};

struct route_table {
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::vector<service_config> services;

    friend bool operator==(const route_table&, const route_table&) = default;
};

} // namespace tanager
