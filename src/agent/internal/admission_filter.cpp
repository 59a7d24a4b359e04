#include "agent/internal/admission_filter.h"

#include "answers/answer_framer.h"
#include "logging/event_log.h"

namespace tanager {

result<void> agent_availability::check_accepts_work() const
{
    if (this->leaving || this->draining) {
        return fail(result_code::agent_leaving, "the agent takes no new work");
    }
    if (!this->has_catalogue_entry) {
        return fail(result_code::agent_not_ready, "the agent has no catalogue yet");
    }
    if (this->backend_down) {
        return fail(result_code::backend_unreachable, "nobody listens at the backend server's address");
    }
    return {};
}

void agent_availability::set_has_catalogue(bool has_entry)
{
    this->has_catalogue_entry = has_entry;
}

void agent_availability::set_shutting_down()
{
    this->leaving = true;
}

void agent_availability::set_backend_down(bool down)
{
    this->backend_down = down;
}

void agent_availability::set_draining(bool is_draining)
{
    this->draining = is_draining;
}

bool agent_availability::is_ready() const
{
    return this->has_catalogue_entry && !this->draining && !this->backend_down;
}

bool agent_availability::is_leaving() const
{
    return this->leaving;
}

void refuse_attempt(const dispatched_attempt& work,
                    attempt_registry& registry,
                    metrics_registry& metrics,
                    const error& cause)
{
    registry.mark_refused(work.attempt);
    const auto number = std::to_string(static_cast<int>(cause.code));
    metrics.increment_counter("tanager_attempts_refused_total", "code=\"" + number + "\"");
    write_event(log_event::attempt_refused,
                {{"attempt", to_text(work.attempt)},
                 {"request", work.request->request_id()},
                 {"code", number},
                 {"detail", cause.detail}});
    const answer_framer framer(work.attempt);
    work.stream->write(framer.make_failure(cause, true));
    work.stream->finish();
}

admission_filter::admission_filter(std::uint64_t incarnation,
                                   const agent_availability& availability,
                                   const claim_window_tracker& windows,
                                   const crash_history& crashes,
                                   attempt_registry& registry,
                                   metrics_registry& metrics,
                                   sink<dispatched_attempt>& next)
    : incarnation(incarnation),
      availability(availability),
      windows(windows),
      crashes(crashes),
      registry(registry),
      metrics(metrics),
      next(next)
{
}

result<void> admission_filter::check(const dispatched_attempt& work) const
{
    if (work.request->agent_incarnation() != this->incarnation) {
        return fail(result_code::agent_incarnation_changed, "the attempt was meant for another process");
    }
    if (!this->windows.accepts(work.request->claim_shard(), work.request->claim_window())) {
        return fail(result_code::claim_window_closed, "the claim is too old to be acted on");
    }
    if (this->crashes.verdict_of(work.request->fingerprint()) == quarantine_verdict::quarantined) {
        return fail(result_code::request_quarantined, "it was running at two crashes");
    }
    return this->availability.check_accepts_work();
}

void admission_filter::accept(dispatched_attempt work)
{
    const auto admitted = this->registry.register_attempt(work.attempt);
    if (!admitted) {
        const bool never_ran = admitted.error().code == result_code::attempt_cancelled;
        const answer_framer framer(work.attempt);
        work.stream->write(framer.make_failure(admitted.error(), never_ran));
        work.stream->finish();
        return;
    }
    const auto allowed = this->check(work);
    if (!allowed) {
        refuse_attempt(work, this->registry, this->metrics, allowed.error());
        return;
    }
    work.runs_alone = work.request->run_alone() ||
                      this->crashes.verdict_of(work.request->fingerprint()) == quarantine_verdict::suspect;
    this->next.accept(std::move(work));
}

} // namespace tanager
