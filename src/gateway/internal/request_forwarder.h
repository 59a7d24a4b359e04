#pragma once

#include "admission/caller_timeout_tracker.h"
#include "answers/sse_event_splitter.h"
#include "gateway/internal/detachable_response_handler.h"
#include "gateway/internal/prefill_call.h"
#include "gateway/internal/request_log.h"
#include "gateway/request_codec.h"
#include "gateway/request_scheduler.h"
#include "gateway/types/caller_request.h"
#include "limits/attempt_limit.h"
#include "limits/bounded_text.h"
#include "limits/retry_budget.h"
#include "metrics/metrics_registry.h"
#include "net/http_client.h"
#include "net/http_exchange.h"
#include "roles/demand_meter.h"
#include "routes/types/route_table.h"
#include "uplink/uplink.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace tanager {

// What all runs share.
struct forward_context {
    event_loop& loop;
    const clock& time;
    metrics_registry& metrics;
    const wire_codec& codec;
    http_client& client;
    server_pool& pool;
    place_desk& desk;
    retry_budget& retries;
    demand_meter& demand;
    uplink& link;
    caller_timeout_tracker& patience;
    byte_budget& answer_bytes;
};

// A request that has a route.
struct routed_request {
    std::shared_ptr<http_exchange> exchange;
    caller_request request;
    std::shared_ptr<const route> chosen_route;
    std::string service;
    bool is_model = false;
    std::uint64_t configuration_version = 0;
    time_point received;
    time_point deadline; // the caller's or the route's, whichever comes first
};

// Carries one request from its route to its answer.
class forward_run final : public place_listener,
                          public attempt_listener,
                          public std::enable_shared_from_this<forward_run> {
public:
    forward_run(const forward_context& context, routed_request routed, std::function<void()> done);

    void start();

    void on_place(const granted_place& granted) override;
    void on_no_place(placement_error miss) override;
    void on_answer_head(int status, const http_headers& headers) override;
    void on_answer_data(std::string_view data) override;
    void on_answer_end() override;
    void on_attempt_failure(const http_failure& failure) override;

private:
    enum class run_state {
        waiting,   // for a place
        reading,   // an engine reads the prompt for another one
        sent,      // at a server, nothing has reached the caller
        answering, // a part of the answer has reached the caller
        finished
    };

    place_request make_place_request(time_point now) const;
    void seek_place();
    attempt_order make_order(const backend_server& target) const;
    http_request encode_for(const attempt_order& order);
    void read_prompt();
    void on_prompt_read(const result<cache_handle>& cache);
    void send_unread(const std::string& cause);
    void end_reading(bool is_measured);
    void break_reading();
    void release_cache();
    void send(const std::optional<cache_handle>& cache);
    void watch_connecting();
    void watch_silence();
    void check_silence_after(std::chrono::milliseconds bound);

    void on_silence();
    void on_deadline();
    void on_caller_left();

    bool is_under_way() const;
    void break_off();
    void forward_events(const std::string& events);
    void end_attempt(server_outcome sign);
    void break_attempt(server_outcome sign);
    void give_up_answer(const error& cause);
    bool try_again(const error& cause, bool may_have_run);
    bool may_go_on_elsewhere() const;
    void settle_refusal();
    void settle_server_failure();
    void settle_broken(const error& cause);
    void deliver_whole(const std::string& body);
    void reject(const error& cause);
    void fail_run(const error& cause);
    void finish(std::string_view outcome, int status);
    bool has_begun() const;
    bool has_lost_objective() const;
    duration elapsed() const;
    double time_used() const;
    duration time_since(time_point began) const;

    forward_context context;
    routed_request routed;
    std::function<void()> done;
    run_log log;
    run_state state = run_state::waiting;
    std::uint64_t ticket = 0;
    std::shared_ptr<http_call> call;
    std::shared_ptr<attempt_handler> handler;
    std::shared_ptr<prompt_reading> reading;
    std::shared_ptr<const backend_server> server;
    place_request wanted;
    granted_place place;
    time_point reading_since;
    std::optional<cache_handle> untaken_cache;
    std::vector<std::string> tried;
    attempt_limit attempts;
    std::uint32_t connect_failures = 0;
    std::uint32_t refusals_of_cache = 0;
    answer_head head;
    http_headers answer_headers;
    bounded_text collected;
    sse_event_splitter events;
    duration sending{0}; // what the last call needed to leave this host
    duration waited{0};
    duration first_event{0};
    time_point last_event;
    duration longest_pause{0};
    time_point generating_since;
    time_point asked;
    std::unique_ptr<loop_timer> deadline_timer;
    std::unique_ptr<loop_timer> connect_timer;
    std::unique_ptr<loop_timer> silence_timer;
};

} // namespace tanager
