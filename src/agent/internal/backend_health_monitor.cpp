#include "agent/internal/backend_health_monitor.h"

#include "base/digest.h"
#include "logging/event_log.h"
#include "net/connect_probe.h"

namespace tanager {

namespace {

constexpr std::chrono::milliseconds probe_timeout{300};
constexpr std::chrono::milliseconds recovery_interval{100};

} // namespace

backend_health_monitor::backend_health_monitor(event_loop& loop,
                                               socket_address backend,
                                               std::uint64_t incarnation,
                                               std::function<void(bool is_down)> state_callback)
    : loop(loop),
      backend(std::move(backend)),
      incarnation(incarnation),
      state_callback(std::move(state_callback))
{
    this->probe([this](bool is_refused) { this->set_down(is_refused); });
}

void backend_health_monitor::probe(std::function<void(bool is_refused)> callback)
{
    // The probe only connects, because a plain service would treat any request as work.
    probe_connection(this->loop,
                     this->backend,
                     probe_timeout,
                     [callback = std::move(callback)](bool is_listening) { callback(!is_listening); });
}

void backend_health_monitor::diagnose_lost_call(crash_callback callback)
{
    this->pending_diagnoses.push_back(std::move(callback));
    if (this->pending_diagnoses.size() == 1) {
        this->probe([this](bool is_refused) { this->on_crash_probe_done(is_refused); });
    }
}

void backend_health_monitor::on_crash_probe_done(bool is_refused)
{
    const auto diagnoses = std::move(this->pending_diagnoses);
    this->pending_diagnoses.clear();
    std::uint64_t crash_id = 0;
    if (is_refused) {
        crash_id = hash64(std::to_string(++this->crash_count), this->incarnation);
        write_event(log_event::backend_crashed, {{"calls", std::to_string(diagnoses.size())}});
        this->set_down(true);
    }
    for (const auto& callback : diagnoses) {
        callback(crash_id);
    }
}

void backend_health_monitor::report_connection_refused()
{
    this->set_down(true);
}

void backend_health_monitor::set_down(bool down)
{
    if (down == this->is_down) {
        return;
    }
    this->is_down = down;
    if (down) {
        write_event(log_event::backend_unreachable, {{"address", to_text(this->backend)}});
        this->recovery_probe = this->loop.run_every(recovery_interval, [this] {
            this->probe([this](bool is_refused) { this->set_down(is_refused); });
        });
    } else {
        write_event(log_event::backend_reachable, {{"address", to_text(this->backend)}});
        this->recovery_probe.reset();
    }
    this->state_callback(down);
}

} // namespace tanager
