// The log lines of one request on its way through the gateway.
#pragma once

#include "admission/slot_share.h"
#include "base/types/result.h"
#include "gateway/request_scheduler.h"

#include <chrono>
#include <string>

namespace tanager {

// What decided a rejection, and what the caller was told.
struct rejection_details {
    std::uint64_t configuration_version = 0;
    slot_usage slots;
    std::chrono::milliseconds caller_timeout{0}; // as the caller said; 0 when it said nothing
    bool has_missed_objective = false;
    duration queue_time{0};
    std::chrono::milliseconds retry_after{0};
};

// How a request ended.
struct request_summary {
    std::string route;
    std::uint64_t configuration_version = 0;
    std::string outcome;
    int status = 0;
    std::uint32_t executions = 0;
    duration queue_time{0};
    duration time_to_first_event{0};
    duration total{0};
    std::uint32_t max_output_tokens = 0; // at most, as asked for; 0 for plain services
    std::uint64_t events = 0;            // that went to the caller
    duration max_event_gap{0};           // between two of them
    load_counts load_on_server;          // what all gateways had on the server at the end
};

class request_log {
public:
    explicit request_log(std::string request_id);

    // The prompt goes to the place's reader.
    void write_prefill_sent(const slot_grant& grant, duration queue_time) const;

    // The request goes to the place's server, which has `company` to serve, this request included.
    void write_sent(const slot_grant& grant,
                    bool has_kv_cache,
                    duration queue_time,
                    const load_counts& load) const;

    // It goes to another server, or to this one in another way.
    void write_retry(const std::string& cause, std::uint32_t executions) const;
    void write_broken(const error& cause, const std::string& outcome) const;
    void write_rejection(const error& cause, const rejection_details& details) const;
    void write_abandoned(duration elapsed) const;
    void write_end(const request_summary& summary) const;

    // Names the server that the lines are about from now on.
    void set_server(const std::string& id);

private:
    std::string request_id;
    std::string server = "-";
};

} // namespace tanager
