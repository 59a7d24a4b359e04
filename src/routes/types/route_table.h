// The configuration in force: which requests go to which service, and how they may be handled.
#pragma once

#include "organisations/types/organisation.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace tanager {

// Whether a request may run more than once follows from the kind of its route alone.
enum class route_kind {
    idempotent,     // may run any number of times
    non_idempotent, // may run once
    streaming       // responds with a stream of events; may run once unless it is resumable
};

// One of the services among which the requests of a route are divided.
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
    bool is_resumable = false; // streaming only: another server may continue after a given event
    std::chrono::milliseconds timeout{0};
    std::chrono::milliseconds latency_objective{0}; // to the whole response, or to a stream's first event
    std::chrono::milliseconds gap_objective{0};     // streaming only: maximum event gap
    std::uint32_t priority = 0;                     // 0 is the most urgent
    std::uint32_t max_attempts = 1;
    std::vector<weighted_service> services;
    bool is_public = false; // callers need no key, where the configuration has organisations

    // Returns whether a request may be retried although an earlier attempt may have run.
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
    std::optional<organisation_list> organisations{}; // absent where callers need no key

    friend bool operator==(const route_table&, const route_table&) = default;
};

} // namespace tanager
