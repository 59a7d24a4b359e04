#pragma once

#include "admission/caller_timeout_tracker.h"
#include "answers/sse_event_splitter.h"
#include "duties/usage_recorder.h"
#include "gateway/crash_quarantine.h"
#include "gateway/internal/caller_identification.h"
#include "gateway/internal/detachable_response_handler.h"
#include "gateway/internal/prefill_call.h"
#include "gateway/internal/request_log.h"
#include "gateway/request_codec.h"
#include "gateway/request_scheduler.h"
#include "gateway/types/caller_request.h"
#include "hedging/hedge_limiter.h"
#include "limits/attempt_limit.h"
#include "limits/bounded_text.h"
#include "limits/retry_budget.h"
#include "metrics/metrics_registry.h"
#include "net/http_client.h"
#include "net/http_exchange.h"
#include "organisations/organisation_metrics.h"
#include "roles/demand_meter.h"
#include "routes/types/route_table.h"
#include "uplink/uplink.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace tanager {

class hedge_attempt;

// The objects that all request forwarders share.
struct forwarding_context {
    event_loop& loop;
    const clock& time;
    metrics_registry& metrics;
    const request_codec& codec;
    http_client& client;
    server_pool& servers;
    request_scheduler& scheduler;
    retry_budget& retries;
    demand_meter& demand;
    uplink_queue_model& link;
    caller_timeout_tracker& caller_timeouts;
    byte_budget& response_buffer_budget;
    crash_quarantine& quarantine;
    const caller_identification& callers;
    organisation_metrics& organisations;
    hedge_limiter& hedges;
    usage_recorder* usage = nullptr; // null if nobody asks for the counts
};

// A request and the route that was found for it.
struct routed_request {
    std::shared_ptr<http_exchange> exchange;
    caller_request request;
    std::shared_ptr<const route> chosen_route;
    std::string service;
    bool is_model = false;
    std::string organisation; // that the caller belongs to; empty if the request needs none
    std::uint64_t configuration_version = 0;
    time_point received;
    time_point deadline;     // after the caller's or the route's timeout, whichever is shorter
    time_point identified{}; // when the caller was, by the clock of the caller identification
    std::optional<caller_identity> caller{}; // absent where the configuration has no organisations
};

// Forwards one request to backend servers, with retries, until the caller has its response. Keeps itself
// alive until then, and calls `done` once at the end.
class request_forwarder final : public slot_listener,
                                public response_listener,
                                public quarantine_listener,
                                public std::enable_shared_from_this<request_forwarder> {
public:
    request_forwarder(const forwarding_context& context, routed_request routed, std::function<void()> done);

    ~request_forwarder() override;
    request_forwarder(const request_forwarder&) = delete;
    request_forwarder& operator=(const request_forwarder&) = delete;
    request_forwarder(request_forwarder&&) = delete;
    request_forwarder& operator=(request_forwarder&&) = delete;

    void start();

    void on_slot_granted(const slot_grant& granted) override;
    void on_slot_denied(placement_error reason) override;
    response_owner find_owner(int status, const http_headers& headers) override;
    void on_response_head(int status, const http_headers& headers) override;
    void on_response_data(std::string_view data) override;
    void on_response_end() override;
    void on_attempt_failure(const http_failure& failure) override;
    void on_trait_quarantined() override;

private:
    enum class request_state {
        queued,     // waiting for a slot
        prefilling, // a prefill engine processes the prompt for the decode engine
        sent,       // at a server; nothing has been sent to the caller
        responding, // part of the response has been sent to the caller
        finished
    };

    slot_request make_slot_request(time_point now) const;
    void request_slot();
    attempt_options make_attempt_options(const backend_server& target) const;
    http_call_options make_call_options(const attempt_options& attempt, duration max_idle_time) const;
    std::optional<socket_address> prefix_source_address() const;
    http_request encode_attempt(const attempt_options& attempt);
    void start_prefill();
    void on_prefill_end(const result<kv_cache_handle>& cache);
    void send_after_prefill();
    void place_again(const backend_server& prefill_engine, const error& cause);
    void send_without_kv_cache(const std::string& cause);
    void end_prefill(bool is_completed);
    void cancel_prefill();
    void release_kv_cache();
    void send(const std::optional<kv_cache_handle>& cache);
    void discard_earlier_response();
    void start_connect_timeout();
    void start_idle_timeout();
    void set_idle_timeout(std::chrono::milliseconds timeout);

    void on_idle_timeout();
    void on_deadline();
    void on_caller_left();
    void return_grant();
    void abandon();

    bool has_active_call() const;
    void cancel_active_call();
    void forward_events(const std::string& events, std::uint64_t count);
    void end_attempt(server_outcome outcome);
    void cancel_attempt(server_outcome outcome);
    void abandon_response(const error& cause);
    bool try_retry(const error& cause, execution_state attempt);
    bool try_spend_retry(const std::string& cause);
    bool may_execute_again() const;
    void handle_refusal();
    void handle_server_failure();
    void fail_after_execution(const error& cause);
    bool is_hedgeable() const;
    void start_hedge_timer();
    void try_hedge();
    hedge_situation make_hedge_situation() const;
    void send_hedge(const slot_request& slot, const slot_grant& granted);
    void on_hedge_answered(const response_info& head, const http_headers& headers, const std::string& body);
    void on_hedge_failed(execution_state executed);
    void cancel_hedge();
    void send_buffered_response(const std::string& body);
    std::chrono::milliseconds suggest_retry_after(const error& cause);
    void reject(const error& cause);
    void fail_with_unknown_outcome(const error& cause);
    void finish(std::string_view outcome, int status);
    void record_organisation(std::string_view outcome, int status);
    bool may_have_executed() const;
    std::optional<quarantine_verdict> find_quarantine() const;
    std::optional<error> identify_again();
    std::optional<error> find_refusal();
    void end_refused(const error& cause);
    void end_quarantined(const quarantine_verdict& verdict);
    void stop_if_quarantined();
    running_request active_attempt() const;
    response_evidence make_evidence(const response_info& head) const;
    void record_began();
    void record_completion();
    bool is_stream() const;
    bool is_stream_broken_off() const;
    bool continues_stream(int status, const http_headers& headers) const;
    void record_unfinished_attempt();
    bool has_missed_objective() const;
    duration elapsed() const;
    double used_timeout_ratio() const;
    duration server_time_since(time_point began) const;

    // How an attempt ended while a second one was under way.
    struct failed_attempt {
        error cause;
        execution_state execution = execution_state::unknown;
        std::optional<http_response> response; // of the server, if it has answered with a failure
    };

    forwarding_context context;
    routed_request routed;
    std::function<void()> done;
    request_log log;
    request_state state = request_state::queued;
    std::uint64_t ticket = 0;
    std::shared_ptr<http_call> call;
    std::shared_ptr<detachable_response_handler> handler;
    std::shared_ptr<prefill_call> prefill;
    std::shared_ptr<const backend_server> server;
    slot_request requested_slot;
    std::optional<placement_error> denial_reason; // set when no slot was granted
    slot_grant grant;
    time_point granted_at;
    std::optional<kv_cache_handle> unclaimed_kv_cache;
    std::shared_ptr<const backend_server> kv_cache_engine; // that holds it
    std::vector<std::string> tried_server_ids;
    attempt_limit attempts;
    std::uint32_t connect_failures = 0;
    std::uint32_t kv_cache_refusals = 0;
    response_info response;
    execution_state execution = execution_state::unknown; // by the current response
    http_headers response_headers;
    bool is_response_framed = false;
    bool is_counted = false;     // as a request that began to run
    int streamed_status = 0;     // of the stream that the caller receives
    duration quarantine_left{0}; // when the request was rejected for it
    bounded_text buffered_body;
    sse_event_splitter events;
    std::uint64_t events_of_earlier_attempts = 0;
    duration send_time{0}; // estimated time for the last call to leave this host
    duration queue_time{0};
    duration time_to_first_event{0};
    time_point last_event_at;
    bool was_paused = false;  // since the last event, as the caller took nothing
    time_point waiting_since; // for the next bytes of the current attempt
    time_point attempt_sent_at;
    duration max_event_gap{0};
    time_point decode_started_at;
    time_point slot_requested_at;
    std::unique_ptr<loop_timer> deadline_timer;
    std::unique_ptr<loop_timer> connect_timer;
    std::unique_ptr<loop_timer> idle_timer;
    std::unique_ptr<loop_timer> hedge_timer;
    std::shared_ptr<hedge_attempt> hedge;              // null unless a second attempt is under way
    std::optional<failed_attempt> failed_before_hedge; // the first attempt, if it ended before the second
};

} // namespace tanager
