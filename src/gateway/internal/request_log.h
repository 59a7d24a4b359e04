// Writes the log events of one request.
#pragma once

#include "admission/slot_share.h"
#include "base/types/result.h"
#include "gateway/request_scheduler.h"
#include "gateway/types/response_info.h"
#include "hedging/types/hedge_situation.h"
#include "limits/retry_budget.h"
#include "net/http_client.h"
#include "quarantine/types/request_traits.h"

#include <chrono>
#include <optional>
#include <string>

namespace tanager {

// The inputs of the decision to reject a request, and the retry delay sent to the caller.
struct rejection_details {
    std::string organisation;
    std::uint64_t configuration_version = 0;
    slot_usage slots;
    std::chrono::milliseconds caller_timeout{0};  // from the request; 0 if it has none
    std::optional<placement_error> denial_reason; // empty if a slot was granted before the rejection
    bool has_missed_objective = false;
    duration queue_time{0};
    std::chrono::milliseconds retry_after{0};
};

// The outcome and the measurements of a finished request.
struct request_summary {
    std::string route;
    std::string organisation; // empty if the caller has none
    std::uint64_t configuration_version = 0;
    std::string outcome;
    int status = 0;
    std::uint32_t executions = 0;
    duration queue_time{0};
    duration time_to_first_event{0};
    duration total{0};
    std::uint32_t max_output_tokens = 0; // limit set by the request; 0 for plain services
    std::uint64_t events = 0;            // sent to the caller
    duration max_event_gap{0};           // between two events
    load_counts load_on_server;          // load of all gateways on the server when the request ended
};

// What tells whether a response belongs to an attempt, and whether that attempt has been executed.
struct response_evidence {
    response_info head;
    call_connection connection;
    duration answered_after{0}; // since the attempt was sent
};

class request_log {
public:
    // Lines name the traits, so that those of repeated requests, and of requests with a common part, can be
    // matched.
    request_log(std::string request_id, const request_traits& traits);

    // Logs that the prompt was sent to the prefill engine of `grant`.
    void write_prefill_sent(const slot_grant& grant, duration queue_time) const;

    // Logs that the request was sent to the server of `grant`. `load` is the server's load, including this
    // request.
    void write_sent(const slot_grant& grant,
                    bool has_kv_cache,
                    duration queue_time,
                    const load_counts& load) const;

    // Logs a further attempt, on another server or, without the KV cache, on this one. `executions` counts
    // the attempts so far.
    void write_retry(const std::string& cause, std::uint32_t executions) const;
    // Logs what was concluded of a response that refuses the attempt or is not certainly its response.
    void write_response(const response_evidence& evidence, execution_state conclusion) const;

    // Logs that another request's response was skipped.
    void write_skipped_response(const response_evidence& evidence) const;

    void write_retry_denied(const std::string& service,
                            const std::string& cause,
                            const retry_budget& retries) const;
    // Log a second attempt at a slow request: that it was sent `waited` after the first, or why it was not,
    // and how it ended.
    void write_hedge_sent(const std::string& server_id, duration waited) const;
    void write_hedge_withheld(hedge_verdict verdict, const hedge_situation& situation) const;
    void write_hedge_ended(const std::string& server_id, std::string_view outcome, duration elapsed) const;
    // Logs a request that failed after a server may have executed it.
    void write_broken(const error& cause, const std::string& outcome) const;
    void write_rejection(const error& cause, const rejection_details& details) const;
    // Logs that the caller closed its connection.
    void write_abandoned(duration elapsed) const;
    void write_end(const request_summary& summary) const;

    // Sets the server that later events name.
    void set_server(const std::string& id);

private:
    void write_evidence(const response_evidence& evidence, std::string_view conclusion) const;

    std::string request_id;
    std::string content;
    std::string prompt_parts;
    std::string server = "-";
};

} // namespace tanager
