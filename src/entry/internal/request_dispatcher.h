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

// What all runs of one entry share.
struct run_context {
    event_loop& loop;
    const clock& time;
    random_source& random;
    metrics_registry& metrics;
    invariant_monitor& invariants;
    agent_selector& directory;
    agent_gateway& gateway;
    retry_budget& budget;
    crash_history& crashes;
    const entry_settings& settings;
    std::uint64_t incarnation;
    std::uint64_t& last_sequence;
};

// Carries one request through route, dispatch, assemble and respond, with its retries.
//
// Attempts follow one another; a second one starts only when the first is known not to have run, or when the
// work is idempotent and nothing of an answer has been delivered.
class request_run final : public response_listener, public std::enable_shared_from_this<request_run> {
public:
    request_run(const run_context& context, identified_request request, std::function<void()> done);

    void start();

    void on_frame(const protocol::answer_frame& frame) override;
    void on_closed() override;

private:
    void begin_attempt();
    void dispatch_to(const agent_target& target);
    protocol::dispatch_request make_message(const attempt_id& attempt, const agent_target& target) const;
    void pass_on(const protocol::answer_frame& frame);
    void check_promises(const protocol::answer_frame& frame);
    void observe_data();
    void read_on();
    void end_attempt();
    void note_ended_attempt(bool not_run);
    void on_attempt_failed(const error& cause, bool not_run);
    bool may_try_again(bool not_run) const;
    void try_again(const error& cause);
    void ask_for_settlement();
    void on_settlement(settlement outcome);
    void complete();
    void give_up(const error& cause);
    void on_caller_left();
    void on_deadline();
    void end();

    run_context context;
    identified_request request;
    std::function<void()> done;
    answer_writer writer;
    agent_target target;
    attempt_id attempt;
    std::optional<answer_assembler> assembler;
    std::shared_ptr<attempt_call> call;
    std::vector<std::string> tried;
    std::optional<error> last_failure;
    std::uint32_t attempts = 0;
    std::uint64_t passed_bytes = 0; // of the present attempt's answer
    std::uint32_t refusals = 0;     // of these, the ones that were not run
    bool may_have_run = false;      // of the attempts that have ended, any
    bool is_settling = false;
    bool is_waiting_for_drain = false;
    bool has_ended = false;
    bool first_data_seen = false;
    time_point last_data;
    time_point settle_until;
    std::unique_ptr<loop_timer> deadline_timer;
    std::unique_ptr<loop_timer> settle_timer;
};

} // namespace tanager
