#include "entry/internal/request_dispatcher.h"

#include "agent_selection/agent_choice.h"
#include "entry/internal/error_response.h"
#include "logging/event_log.h"

namespace tanager {

namespace {

// The agent ends an attempt at its deadline; the entry waits a little longer for that word.
constexpr std::chrono::milliseconds deadline_grace{500};
constexpr std::chrono::seconds settle_patience{3};
// Refusals cost little and are not counted as attempts, but do not go on for ever.
constexpr std::uint32_t refusals_bound = 8;
constexpr std::chrono::milliseconds settle_interval{100};

} // namespace

request_run::request_run(const run_context& context, identified_request request, std::function<void()> done)
    : context(context), request(std::move(request)), done(std::move(done)), writer(this->request.received)
{
}

void request_run::start()
{
    this->context.budget.record_request(this->request.member->name);
    const auto self = this->shared_from_this();
    this->request.received.exchange->on_caller_left([weak = this->weak_from_this()] {
        if (const auto alive = weak.lock()) {
            alive->on_caller_left();
        }
    });
    this->request.received.exchange->on_drained([weak = this->weak_from_this()] {
        const auto alive = weak.lock();
        if (alive != nullptr && alive->is_waiting_for_drain) {
            alive->is_waiting_for_drain = false;
            alive->call->read_next();
        }
    });
    const auto remaining = this->request.deadline - this->context.time.now() + deadline_grace;
    this->deadline_timer = this->context.loop.run_after(remaining, [self] { self->on_deadline(); });
    this->begin_attempt();
}

void request_run::begin_attempt()
{
    const auto candidates = this->context.directory.candidates(*this->request.pool, *this->request.member);
    const agent_selection_request wanted{this->request.prefix_hash, this->request.pieces};
    const auto chosen = choose_agent(wanted, candidates, this->tried, this->context.random);
    if (!chosen) {
        // After a failed attempt, what made it fail says more than that nobody else is left.
        this->give_up(this->last_failure.value_or(chosen.error()));
        return;
    }
    this->dispatch_to(this->context.directory.target_of(*this->request.pool, *chosen));
}

protocol::dispatch_request request_run::make_message(const attempt_id& name, const agent_target& chosen) const
{
    const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(this->request.deadline -
                                                                                 this->context.time.now());
    protocol::dispatch_request message;
    fill_message(name, *message.mutable_attempt());
    message.set_request_id(this->request.received.request_id);
    message.set_agent_incarnation(chosen.incarnation);
    message.set_member(this->request.member->name);
    message.set_work_entry(this->request.work->name);
    message.set_pool(this->request.pool->name);
    message.set_pieces(this->request.pieces);
    message.set_priority(this->request.work->priority);
    message.set_remaining_milliseconds(
        static_cast<std::uint32_t>(std::max<std::int64_t>(0, remaining.count())));
    message.set_idempotent(this->request.work->idempotent);
    message.set_claim_shard(this->request.claim.shard);
    message.set_claim_window(this->request.claim.window);
    message.set_fingerprint(this->request.fingerprint);
    message.set_run_alone(this->context.crashes.verdict_of(this->request.fingerprint) ==
                          quarantine_verdict::suspect);
    message.set_method(this->request.backend->method);
    message.set_path(this->request.backend->path);
    message.set_body(this->request.backend->body);
    for (const auto& header : this->request.backend->headers) {
        auto* const row = message.add_headers();
        row->set_name(header.name);
        row->set_value(header.value);
    }
    return message;
}

void request_run::dispatch_to(const agent_target& chosen)
{
    const bool may_run_now = this->request.work->idempotent || !this->may_have_run;
    if (!this->context.invariants.check(
            may_run_now, invariant::non_idempotent_never_retried, this->request.received.request_id)) {
        this->give_up({result_code::outcome_unknown, "an earlier attempt may have run"});
        return;
    }
    ++this->attempts;
    this->target = chosen;
    this->attempt = {this->context.incarnation, ++this->context.last_sequence};
    this->assembler.emplace(this->attempt);
    this->passed_bytes = 0;
    this->context.directory.note_dispatched(chosen.host, this->request.member->name, this->request.pieces);
    this->call = this->context.gateway.dispatch(
        chosen.address, this->make_message(this->attempt, chosen), this->shared_from_this());
}

void request_run::on_frame(const protocol::answer_frame& frame)
{
    if (this->has_ended || !this->assembler) {
        return;
    }
    const auto verdict = this->assembler->accept(frame);
    switch (verdict) {
    case frame_verdict::pass:
        this->pass_on(frame);
        return;
    case frame_verdict::wrong_attempt:
        this->context.metrics.increment_counter("tanager_frames_dropped_total", "reason=\"foreign\"");
        write_event(log_event::frame_dropped,
                    {{"request", this->request.received.request_id}, {"reason", "foreign"}});
        this->read_on();
        return;
    case frame_verdict::duplicate:
        this->context.metrics.increment_counter("tanager_frames_dropped_total", "reason=\"duplicate\"");
        this->read_on();
        return;
    case frame_verdict::gap:
    case frame_verdict::mismatch:
        this->call->cancel();
        this->end_attempt();
        this->on_attempt_failed({result_code::answer_incomplete, "frames are missing or changed"}, false);
        return;
    }
}

void request_run::pass_on(const protocol::answer_frame& frame)
{
    if (frame.has_head()) {
        this->writer.set_head(frame.head());
    }
    if (!frame.data().empty()) {
        this->check_promises(frame);
        this->observe_data();
        this->writer.write(frame.data());
        this->passed_bytes += frame.data().size();
    }
    if (frame.has_end()) {
        this->end_attempt();
        this->complete();
        return;
    }
    if (frame.has_failure()) {
        this->end_attempt();
        const auto code = static_cast<result_code>(frame.failure().code());
        if (frame.failure().crash() != 0) {
            this->context.crashes.record({frame.failure().crash(), this->request.fingerprint});
        }
        this->on_attempt_failed({code, frame.failure().detail()}, frame.failure().not_run());
        return;
    }
    this->read_on();
}

// Checked apart from the assembler, so that a fault there does not go unseen.
void request_run::check_promises(const protocol::answer_frame& frame)
{
    const auto& id = this->request.received.request_id;
    this->context.invariants.check(
        from_message(frame.attempt()) == this->attempt, invariant::answer_belongs_to_caller, id);
    this->context.invariants.check(frame.offset() == this->passed_bytes, invariant::answer_is_contiguous, id);
}

void request_run::observe_data()
{
    const auto now = this->context.time.now();
    const auto label = this->request.label();
    if (!this->first_data_seen) {
        this->first_data_seen = true;
        this->context.metrics.observe_duration(
            "tanager_first_token_seconds", label, now - this->request.received.received);
    } else {
        this->context.metrics.observe_duration(
            "tanager_between_tokens_seconds", label, now - this->last_data);
    }
    this->last_data = now;
}

void request_run::read_on()
{
    if (this->writer.is_congested()) {
        this->is_waiting_for_drain = true;
        return;
    }
    this->call->read_next();
}

void request_run::on_closed()
{
    if (this->has_ended || !this->assembler) {
        return;
    }
    this->end_attempt();
    this->on_attempt_failed({result_code::agent_connection_lost, "the connection to the agent broke"}, false);
}

void request_run::end_attempt()
{
    this->assembler.reset();
    this->context.directory.note_ended(this->target.host, this->request.member->name, this->request.pieces);
}

bool request_run::may_try_again(bool not_run) const
{
    const bool is_safe = not_run || this->request.work->idempotent;
    const bool is_in_time = this->context.time.now() < this->request.deadline;
    const bool is_quarantined =
        this->context.crashes.verdict_of(this->request.fingerprint) == quarantine_verdict::quarantined;
    return is_safe && is_in_time && !is_quarantined && !this->writer.has_delivered() &&
           this->attempts - this->refusals < this->context.settings.attempts &&
           this->refusals < refusals_bound;
}

void request_run::note_ended_attempt(bool not_run)
{
    if (not_run) {
        ++this->refusals;
    } else {
        this->may_have_run = true;
    }
}

void request_run::on_attempt_failed(const error& cause, bool not_run)
{
    this->writer.reset();
    const bool needs_settlement = cause.code == result_code::agent_connection_lost &&
                                  !this->request.work->idempotent && !this->writer.has_delivered();
    if (needs_settlement) {
        this->is_settling = true;
        this->settle_until = this->context.time.now() + settle_patience;
        this->ask_for_settlement();
        return;
    }
    this->note_ended_attempt(not_run);
    if (!this->may_try_again(not_run) || cause.code == result_code::request_too_large_for_pool) {
        this->give_up(cause);
        return;
    }
    this->try_again(cause);
}

void request_run::try_again(const error& cause)
{
    if (!this->context.budget.try_spend(this->request.member->name)) {
        this->context.metrics.increment_counter("tanager_retry_budget_spent_total");
        this->give_up(cause);
        return;
    }
    this->context.metrics.increment_counter("tanager_retries_total");
    write_event(log_event::attempt_retried,
                {{"request", this->request.received.request_id},
                 {"host", this->target.host},
                 {"code", std::to_string(static_cast<int>(cause.code))}});
    this->last_failure = cause;
    this->tried.push_back(this->target.host);
    this->begin_attempt();
}

void request_run::ask_for_settlement()
{
    const auto self = this->shared_from_this();
    const bool is_same_process =
        this->context.directory.incarnation_of(this->target.host) == this->target.incarnation;
    if (!is_same_process) {
        // Its successor cannot know what it did.
        this->on_settlement(settlement::may_have_run);
        return;
    }
    this->context.gateway.settle(this->target.address,
                                 this->attempt,
                                 this->target.incarnation,
                                 [self](settlement outcome) { self->on_settlement(outcome); });
}

void request_run::on_settlement(settlement outcome)
{
    if (this->has_ended) {
        return;
    }
    const auto now = this->context.time.now();
    if (outcome == settlement::unreachable && now < this->settle_until) {
        const auto self = this->shared_from_this();
        this->settle_timer =
            this->context.loop.run_after(settle_interval, [self] { self->ask_for_settlement(); });
        return;
    }
    const bool not_run = outcome == settlement::not_run;
    const error cause{result_code::outcome_unknown, "the connection to the agent broke"};
    this->is_settling = false;
    this->note_ended_attempt(not_run);
    if (not_run && this->may_try_again(true)) {
        this->try_again({result_code::agent_connection_lost, cause.detail});
        return;
    }
    this->give_up(not_run ? error{result_code::agent_connection_lost, cause.detail} : cause);
}

void request_run::complete()
{
    const auto now = this->context.time.now();
    const auto label = this->request.label();
    this->context.metrics.observe_duration(
        "tanager_request_seconds", label, now - this->request.received.received);
    this->context.metrics.increment_counter("tanager_requests_complete_total",
                                            "member=\"" + label.member + "\",class=\"" + label.work_class +
                                                "\"");
    write_event(log_event::request_completed, {{"request", this->request.received.request_id}});
    if (this->request.listener != nullptr) {
        this->request.listener->on_complete(
            this->writer.answer_status(), this->writer.answer_type(), this->writer.collected_body());
    }
    this->writer.finish();
    this->end();
}

void request_run::give_up(const error& cause)
{
    const bool is_unknown = this->may_have_run || this->writer.has_delivered();
    const auto outcome = is_unknown ? request_outcome::unknown : request_outcome::not_run;
    if (this->request.listener != nullptr) {
        this->request.listener->on_not_complete(outcome);
    }
    if (this->writer.has_delivered()) {
        write_event(log_event::request_failed,
                    {{"request", this->request.received.request_id},
                     {"code", std::to_string(static_cast<int>(cause.code))},
                     {"detail", cause.detail}});
        this->context.metrics.increment_counter("tanager_streams_broken_total");
        this->writer.break_off();
    } else {
        refuse_request(this->request.received, cause, outcome, this->context.metrics);
    }
    this->end();
}

void request_run::on_caller_left()
{
    write_event(log_event::caller_left, {{"request", this->request.received.request_id}});
    this->context.metrics.increment_counter("tanager_callers_left_total");
    if (!this->request.work->idempotent || this->has_ended) {
        // What may not be repeated runs to its end.
        return;
    }
    if (this->assembler) {
        this->call->cancel();
        this->end_attempt();
    }
    this->writer.break_off();
    this->end();
}

void request_run::on_deadline()
{
    if (this->has_ended) {
        return;
    }
    // What is still open at an agent may run or be running.
    this->may_have_run = this->may_have_run || this->assembler.has_value() || this->is_settling;
    if (this->assembler) {
        this->call->cancel();
        this->end_attempt();
    }
    this->give_up({result_code::timed_out, "no whole answer before the deadline"});
}

void request_run::end()
{
    this->has_ended = true;
    this->deadline_timer.reset();
    this->settle_timer.reset();
    this->call.reset();
    if (this->done) {
        const auto notice = std::exchange(this->done, nullptr);
        notice();
    }
}

} // namespace tanager
