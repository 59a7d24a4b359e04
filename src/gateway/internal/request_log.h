// The log lines of one request on its way through the gateway.
#pragma once

#include "admission/slot_share.h"
#include "base/types/result.h"
#include "gateway/request_scheduler.h"

#include <chrono>
#include <string>

namespace tanager {

// What decided a rejection, and what the caller was told.
struct rejection_inputs {
    std::uint64_t configuration_version = 0;
    slot_usage places;
    std::chrono::milliseconds time_left{0}; // as the caller said; 0 when it said nothing
    bool is_late = false;
    duration waited{0};
    std::chrono::milliseconds retry_after{0};
};

// How a request ended.
struct run_summary {
    std::string route;
    std::uint64_t configuration_version = 0;
    std::string outcome;
    int status = 0;
    std::uint32_t runs = 0;
    duration waited{0};
    duration first_event{0};
    duration total{0};
    std::uint32_t output_tokens = 0; // at most, as asked for; 0 for plain services
    std::uint64_t events = 0;        // that went to the caller
    duration longest_pause{0};       // between two of them
    own_load company;                // what all gateways had on the server at the end
};

class run_log {
public:
    explicit run_log(std::string request_id);

    // The prompt goes to the place's reader.
    void write_reading(const granted_place& place, duration waited) const;

    // The request goes to the place's server, which has `company` to serve, this request included.
    void
    write_sent(const granted_place& place, bool with_cache, duration waited, const own_load& company) const;

    // It goes to another server, or to this one in another way.
    void write_retry(const std::string& cause, std::uint32_t runs) const;
    void write_broken(const error& cause, const std::string& outcome) const;
    void write_rejection(const error& cause, const rejection_inputs& inputs) const;
    void write_abandoned(duration elapsed) const;
    void write_end(const run_summary& summary) const;

    // Names the server that the lines are about from now on.
    void use_server(const std::string& id);

private:
    std::string request_id;
    std::string server = "-";
};

} // namespace tanager
