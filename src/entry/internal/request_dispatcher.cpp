#include "entry/internal/request_dispatcher.h"

#include "agent_selection/agent_choice.h"
#include "entry/internal/error_response.h"
#include "logging/event_log.h"

namespace tanager {

namespace {

// The agent ends an attempt at the deadline; the entry waits this much longer for its last frame.
constexpr std::chrono::milliseconds deadline_grace{500};
constexpr std::chrono::seconds resolution_timeout{3};
// Attempts that were not run cost little and do not count towards `max_attempts`, but have a bound of their
// own.
constexpr std::uint32_t max_not_run_attempts = 8;
constexpr std::chrono::milliseconds resolution_retry_interval{100};

} // namespace

request_dispatcher::request_dispatcher(const dispatch_context& context,
                                       identified_request request,
                                       std::function<void()> on_done)
    : context(context),
      request(std::move(request)),
      on_done(std::move(on_done)),
      writer(this->request.received)
{
}

void request_dispatcher::start()
{
    this->context.retries.record_request(this->request.member->name);
    const auto self = this->shared_from_this();
    this->request.received.exchange->on_caller_left([weak = this->weak_from_this()] {
        if (const auto dispatcher = weak.lock()) {
            dispatcher->on_caller_disconnected();
        }
    });
    this->request.received.exchange->on_drained([weak = this->weak_from_this()] {
        const auto dispatcher = weak.lock();
        if (dispatcher != nullptr && dispatcher->is_waiting_for_drain) {
            dispatcher->is_waiting_for_drain = false;
            dispatcher->call->read_next();
        }
    });
    const auto remaining = this->request.deadline - this->context.time.now() + deadline_grace;
    this->deadline_timer = this->context.loop.run_after(remaining, [self] { self->on_deadline(); });
    this->start_attempt();
}

void request_dispatcher::start_attempt()
{
    const auto candidates = this->context.agents.candidates(*this->request.pool, *this->request.member);
    const agent_selection_request selection{this->request.prefix_hash, this->request.pieces};
    const auto chosen = choose_agent(selection, candidates, this->tried_hosts, this->context.random);
    if (!chosen) {
        // After a failed attempt, its error is more informative than the lack of further candidates.
        this->fail_request(this->last_failure.value_or(chosen.error()));
        return;
    }
    this->dispatch_to(this->context.agents.target_of(*this->request.pool, *chosen));
}

protocol::dispatch_request request_dispatcher::make_dispatch_request(const attempt_id& id,
                                                                     const agent_target& chosen) const
{
    const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(this->request.deadline -
                                                                                 this->context.time.now());
    protocol::dispatch_request message;
    fill_message(id, *message.mutable_attempt());
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
    message.set_method(this->request.backend_message->method);
    message.set_path(this->request.backend_message->path);
    message.set_body(this->request.backend_message->body);
    for (const auto& header : this->request.backend_message->headers) {
        auto* const row = message.add_headers();
        row->set_name(header.name);
        row->set_value(header.value);
    }
    return message;
}

void request_dispatcher::dispatch_to(const agent_target& chosen)
{
    const bool may_run_now = this->request.work->idempotent || !this->may_have_run;
    if (!this->context.invariants.check(
            may_run_now, invariant::non_idempotent_never_retried, this->request.received.request_id)) {
        this->fail_request({result_code::outcome_unknown, "an earlier attempt may have run"});
        return;
    }
    ++this->attempts;
    this->target = chosen;
    this->attempt = {this->context.incarnation, ++this->context.last_attempt_sequence};
    this->assembler.emplace(this->attempt);
    this->forwarded_bytes = 0;
    this->context.agents.add_load(chosen.host, this->request.member->name, this->request.pieces);
    this->call = this->context.client.dispatch(
        chosen.address, this->make_dispatch_request(this->attempt, chosen), this->shared_from_this());
}

void request_dispatcher::on_frame(const protocol::answer_frame& frame)
{
    if (this->has_ended || !this->assembler) {
        return;
    }
    const auto verdict = this->assembler->accept(frame);
    switch (verdict) {
    case frame_verdict::pass:
        this->handle_frame(frame);
        return;
    case frame_verdict::wrong_attempt:
        this->context.metrics.increment_counter("tanager_frames_dropped_total", "reason=\"foreign\"");
        write_event(log_event::frame_dropped,
                    {{"request", this->request.received.request_id}, {"reason", "foreign"}});
        this->read_next_frame();
        return;
    case frame_verdict::duplicate:
        this->context.metrics.increment_counter("tanager_frames_dropped_total", "reason=\"duplicate\"");
        this->read_next_frame();
        return;
    case frame_verdict::gap:
    case frame_verdict::mismatch:
        this->call->cancel();
        this->end_attempt();
        this->on_attempt_failed({result_code::answer_incomplete, "frames are missing or changed"}, false);
        return;
    }
}

void request_dispatcher::handle_frame(const protocol::answer_frame& frame)
{
    if (frame.has_head()) {
        this->writer.set_head(frame.head());
    }
    if (!frame.data().empty()) {
        this->check_invariants(frame);
        this->record_token_latency();
        this->writer.write(frame.data());
        this->forwarded_bytes += frame.data().size();
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
    this->read_next_frame();
}

// Checks independently of the assembler, so that a fault in the assembler is detected.
void request_dispatcher::check_invariants(const protocol::answer_frame& frame)
{
    const auto& id = this->request.received.request_id;
    this->context.invariants.check(
        from_message(frame.attempt()) == this->attempt, invariant::answer_belongs_to_caller, id);
    this->context.invariants.check(
        frame.offset() == this->forwarded_bytes, invariant::answer_is_contiguous, id);
}

void request_dispatcher::record_token_latency()
{
    const auto now = this->context.time.now();
    const auto label = this->request.make_metric_labels();
    if (!this->has_received_data) {
        this->has_received_data = true;
        this->context.metrics.observe_duration(
            "tanager_first_token_seconds", label, now - this->request.received.received_at);
    } else {
        this->context.metrics.observe_duration(
            "tanager_between_tokens_seconds", label, now - this->last_data_at);
    }
    this->last_data_at = now;
}

void request_dispatcher::read_next_frame()
{
    if (this->writer.is_congested()) {
        this->is_waiting_for_drain = true;
        return;
    }
    this->call->read_next();
}

void request_dispatcher::on_connection_closed()
{
    if (this->has_ended || !this->assembler) {
        return;
    }
    this->end_attempt();
    this->on_attempt_failed({result_code::agent_connection_lost, "the connection to the agent broke"}, false);
}

void request_dispatcher::end_attempt()
{
    this->assembler.reset();
    this->context.agents.remove_load(this->target.host, this->request.member->name, this->request.pieces);
}

bool request_dispatcher::may_retry(bool not_run) const
{
    const bool is_safe = not_run || this->request.work->idempotent;
    const bool is_in_time = this->context.time.now() < this->request.deadline;
    const bool is_quarantined =
        this->context.crashes.verdict_of(this->request.fingerprint) == quarantine_verdict::quarantined;
    return is_safe && is_in_time && !is_quarantined && !this->writer.has_started() &&
           this->attempts - this->not_run_attempts < this->context.settings.max_attempts &&
           this->not_run_attempts < max_not_run_attempts;
}

void request_dispatcher::count_ended_attempt(bool not_run)
{
    if (not_run) {
        ++this->not_run_attempts;
    } else {
        this->may_have_run = true;
    }
}

void request_dispatcher::on_attempt_failed(const error& cause, bool not_run)
{
    this->writer.reset();
    const bool must_resolve = cause.code == result_code::agent_connection_lost &&
                              !this->request.work->idempotent && !this->writer.has_started();
    if (must_resolve) {
        this->is_resolving = true;
        this->resolution_deadline = this->context.time.now() + resolution_timeout;
        this->resolve_attempt();
        return;
    }
    this->count_ended_attempt(not_run);
    if (!this->may_retry(not_run) || cause.code == result_code::request_too_large_for_pool) {
        this->fail_request(cause);
        return;
    }
    this->try_retry(cause);
}

void request_dispatcher::try_retry(const error& cause)
{
    if (!this->context.retries.try_spend(this->request.member->name)) {
        this->context.metrics.increment_counter("tanager_retry_budget_spent_total");
        this->fail_request(cause);
        return;
    }
    this->context.metrics.increment_counter("tanager_retries_total");
    write_event(log_event::attempt_retried,
                {{"request", this->request.received.request_id},
                 {"host", this->target.host},
                 {"code", std::to_string(static_cast<int>(cause.code))}});
    this->last_failure = cause;
    this->tried_hosts.push_back(this->target.host);
    this->start_attempt();
}

void request_dispatcher::resolve_attempt()
{
    const auto self = this->shared_from_this();
    const bool is_same_process =
        this->context.agents.incarnation_of(this->target.host) == this->target.incarnation;
    if (!is_same_process) {
        // A restarted agent has no record of the attempts of its predecessor.
        this->on_resolution(attempt_resolution::may_have_run);
        return;
    }
    this->context.client.resolve_attempt(
        this->target.address, this->attempt, this->target.incarnation, [self](attempt_resolution outcome) {
            self->on_resolution(outcome);
        });
}

void request_dispatcher::on_resolution(attempt_resolution outcome)
{
    if (this->has_ended) {
        return;
    }
    const auto now = this->context.time.now();
    if (outcome == attempt_resolution::unreachable && now < this->resolution_deadline) {
        const auto self = this->shared_from_this();
        this->resolution_timer =
            this->context.loop.run_after(resolution_retry_interval, [self] { self->resolve_attempt(); });
        return;
    }
    const bool not_run = outcome == attempt_resolution::not_run;
    const error cause{result_code::outcome_unknown, "the connection to the agent broke"};
    this->is_resolving = false;
    this->count_ended_attempt(not_run);
    if (not_run && this->may_retry(true)) {
        this->try_retry({result_code::agent_connection_lost, cause.detail});
        return;
    }
    this->fail_request(not_run ? error{result_code::agent_connection_lost, cause.detail} : cause);
}

void request_dispatcher::complete()
{
    const auto now = this->context.time.now();
    const auto label = this->request.make_metric_labels();
    this->context.metrics.observe_duration(
        "tanager_request_seconds", label, now - this->request.received.received_at);
    this->context.metrics.increment_counter("tanager_requests_complete_total",
                                            "member=\"" + label.member + "\",class=\"" + label.work_class +
                                                "\"");
    write_event(log_event::request_completed, {{"request", this->request.received.request_id}});
    if (this->request.outcome_handler != nullptr) {
        this->request.outcome_handler->on_complete(
            this->writer.answer_status(), this->writer.answer_content_type(), this->writer.buffered_body());
    }
    this->writer.finish();
    this->end();
}

void request_dispatcher::fail_request(const error& cause)
{
    const bool is_unknown = this->may_have_run || this->writer.has_started();
    const auto outcome = is_unknown ? request_outcome::unknown : request_outcome::not_run;
    if (this->request.outcome_handler != nullptr) {
        this->request.outcome_handler->on_incomplete(outcome);
    }
    if (this->writer.has_started()) {
        write_event(log_event::request_failed,
                    {{"request", this->request.received.request_id},
                     {"code", std::to_string(static_cast<int>(cause.code))},
                     {"detail", cause.detail}});
        this->context.metrics.increment_counter("tanager_streams_broken_total");
        this->writer.abort();
    } else {
        send_error_response(this->request.received, cause, outcome, this->context.metrics);
    }
    this->end();
}

void request_dispatcher::on_caller_disconnected()
{
    write_event(log_event::caller_left, {{"request", this->request.received.request_id}});
    this->context.metrics.increment_counter("tanager_callers_left_total");
    if (!this->request.work->idempotent || this->has_ended) {
        // A request that must not be repeated runs to completion.
        return;
    }
    if (this->assembler) {
        this->call->cancel();
        this->end_attempt();
    }
    this->writer.abort();
    this->end();
}

void request_dispatcher::on_deadline()
{
    if (this->has_ended) {
        return;
    }
    // An attempt that is still open at an agent may have run or may be running.
    this->may_have_run = this->may_have_run || this->assembler.has_value() || this->is_resolving;
    if (this->assembler) {
        this->call->cancel();
        this->end_attempt();
    }
    this->fail_request({result_code::timed_out, "no whole answer before the deadline"});
}

void request_dispatcher::end()
{
    this->has_ended = true;
    this->deadline_timer.reset();
    this->resolution_timer.reset();
    this->call.reset();
    if (this->on_done) {
        const auto callback = std::exchange(this->on_done, nullptr);
        callback();
    }
}

} // namespace tanager
