#include "agent/internal/backend_filter.h"

#include "agent/internal/admission_filter.h"
#include "agent/internal/backend_call.h"
#include "logging/event_log.h"

namespace tanager {

backend_filter::backend_filter(event_loop& loop,
                               const clock& time,
                               http_client& client,
                               socket_address backend,
                               const catalogue& local_catalogue,
                               share_limiter& limiter,
                               attempt_registry& registry,
                               backend_health_monitor& monitor,
                               crash_history& crashes,
                               metrics_registry& metrics)
    : loop(loop),
      time(time),
      client(client),
      backend(std::move(backend)),
      local_catalogue(local_catalogue),
      limiter(limiter),
      registry(registry),
      monitor(monitor),
      crashes(crashes),
      metrics(metrics)
{
}

void backend_filter::accept(dispatched_attempt work)
{
    if (!this->registry.try_mark_dispatched(work.attempt)) {
        this->limiter.release(work.request->member(), work.request->pieces());
        refuse_attempt(
            work, this->registry, this->metrics, {result_code::attempt_cancelled, "settled as not run"});
        return;
    }
    ++this->running_attempts;
    const auto pool = this->local_catalogue.find_pool(work.request->pool());
    const bool is_model = pool == nullptr || pool->kind == pool_kind::model;
    const auto fingerprint = work.request->fingerprint();
    const auto call = std::make_shared<backend_call>(
        this->loop,
        this->time,
        this->metrics,
        std::move(work),
        is_model,
        [this, fingerprint](const backend_health_monitor::crash_callback& callback) {
            this->diagnose_lost_call(fingerprint, callback);
        },
        [this](const dispatched_attempt& ended, const backend_call_result& outcome) {
            this->on_done(ended, outcome);
        });
    call->start(this->client, this->backend);
}

// Determines whether a call broke because of a crash. Calls back about a crash only after it has been
// announced to the entries.
void backend_filter::diagnose_lost_call(std::uint64_t fingerprint,
                                        const backend_health_monitor::crash_callback& callback)
{
    this->monitor.diagnose_lost_call([this, fingerprint, callback](std::uint64_t crash) {
        if (crash == 0) {
            callback(crash);
            return;
        }
        this->metrics.increment_counter("tanager_crash_suspects_total");
        this->announce_crash({crash, fingerprint}, [callback, crash] { callback(crash); });
    });
}

void backend_filter::on_done(const dispatched_attempt& work, const backend_call_result& outcome)
{
    --this->running_attempts;
    this->limiter.release(work.request->member(), work.request->pieces());
    if (outcome.not_run) {
        this->monitor.report_connection_refused();
    }
    if (outcome.status && work.runs_alone) {
        this->crashes.clear_request(work.request->fingerprint());
    }
    if (outcome.status) {
        this->metrics.increment_counter("tanager_attempts_finished_total");
        write_event(log_event::attempt_finished, {{"request", work.request->request_id()}});
    } else {
        const auto& cause = outcome.status.error();
        const auto number = std::to_string(static_cast<int>(cause.code));
        this->metrics.increment_counter("tanager_attempts_failed_total", "code=\"" + number + "\"");
        write_event(log_event::attempt_failed,
                    {{"request", work.request->request_id()},
                     {"attempt", to_text(work.attempt)},
                     {"code", number},
                     {"detail", cause.detail},
                     {"not_run", outcome.not_run ? "true" : "false"}});
    }
    if (this->capacity_released_callback) {
        this->capacity_released_callback();
    }
}

void backend_filter::on_capacity_released(std::function<void()> callback)
{
    this->capacity_released_callback = std::move(callback);
}

void backend_filter::on_crash(crash_announcer callback)
{
    this->announce_crash = std::move(callback);
}

std::size_t backend_filter::running_count() const
{
    return this->running_attempts;
}

} // namespace tanager
