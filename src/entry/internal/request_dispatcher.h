#pragma once

#include "answers/answer_assembler.h"
#include "base/clock.h"
#include "base/invariant_monitor.h"
#include "base/random_source.h"
#include "entry/agent_candidate_source.h"
#include "entry/agent_client.h"
#include "entry/internal/answer_writer.h"
#include "entry/types/entry_settings.h"
#include "entry/types/request_types.h"
#include "limits/retry_budget.h"
#include "metrics/metrics_registry.h"
#include "net/event_loop.h"
#include "quarantine/crash_history.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace tanager {

// The services and state that all request_dispatchers of one entry share.
struct dispatch_context {
    event_loop& loop;
    const clock& time;
    random_source& random;
    metrics_registry& metrics;
    invariant_monitor& invariants;
    agent_candidate_source& agents;
    agent_client& client;
    retry_budget& retries;
    crash_history& crashes;
    const entry_settings& settings;
    std::uint64_t incarnation;
    std::uint64_t& last_attempt_sequence;
};

// Routes and dispatches one request, assembles the answer, responds to the caller, and retries failed
// attempts.
//
// Attempts run one after another. A retry starts only if nothing of an answer has been sent to the caller and
// either the failed attempt is certain not to have run or the work is idempotent.
class request_dispatcher final : public response_listener,
                                 public std::enable_shared_from_this<request_dispatcher> {
public:
    request_dispatcher(const dispatch_context& context,
                       identified_request request,
                       std::function<void()> on_done);

    void start();

    void on_frame(const protocol::answer_frame& frame) override;
    void on_connection_closed() override;

private:
    void start_attempt();
    void dispatch_to(const agent_target& target);
    protocol::dispatch_request make_dispatch_request(const attempt_id& attempt,
                                                     const agent_target& target) const;
    void handle_frame(const protocol::answer_frame& frame);
    void check_invariants(const protocol::answer_frame& frame);
    void record_token_latency();
    void read_next_frame();
    void end_attempt();
    void count_ended_attempt(bool not_run);
    void on_attempt_failed(const error& cause, bool not_run);
    bool may_retry(bool not_run) const;
    void try_retry(const error& cause);
    void resolve_attempt();
    void on_resolution(attempt_resolution outcome);
    void complete();
    void fail_request(const error& cause);
    void on_caller_disconnected();
    void on_deadline();
    void end();

    dispatch_context context;
    identified_request request;
    std::function<void()> on_done;
    answer_writer writer;
    agent_target target;
    attempt_id attempt;
    std::optional<answer_assembler> assembler;
    std::shared_ptr<attempt_call> call;
    std::vector<std::string> tried_hosts;
    std::optional<error> last_failure;
    std::uint32_t attempts = 0;
    std::uint64_t forwarded_bytes = 0;  // of the current attempt's answer
    std::uint32_t not_run_attempts = 0; // of `attempts`, those that were not run
    bool may_have_run = false;          // whether any ended attempt may have run
    bool is_resolving = false;
    bool is_waiting_for_drain = false;
    bool has_ended = false;
    bool has_received_data = false;
    time_point last_data_at;
    time_point resolution_deadline;
    std::unique_ptr<loop_timer> deadline_timer;
    std::unique_ptr<loop_timer> resolution_timer;
};

} // namespace tanager
