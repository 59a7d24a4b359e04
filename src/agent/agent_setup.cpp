#include "agent/agent_setup.h"

#include "agent/attempt_registry.h"
#include "agent/internal/admission_filter.h"
#include "agent/internal/agent_catalogue_applier.h"
#include "agent/internal/backend_filter.h"
#include "agent/internal/entry_connections.h"
#include "agent/internal/grpc_agent_server.h"
#include "agent/internal/queue_filter.h"
#include "base/system_clock.h"
#include "base/system_random.h"
#include "logging/event_log.h"
#include "logging/logging_invariant_monitor.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "program/admin_endpoints.h"

namespace tanager {

namespace {

// Must exceed the longest deadline that the catalogue accepts.
constexpr std::chrono::hours attempt_retention{2};
constexpr std::chrono::minutes crash_retention{10};
constexpr std::chrono::seconds expiry_interval{1};
constexpr std::chrono::milliseconds drain_check_interval{10};
// Time for the entries to learn that the agent is leaving before it checks whether it is drained.
constexpr std::chrono::milliseconds shutdown_notice_delay{300};
constexpr int status_not_found = 404;

class agent_process final : public server_process {
public:
    agent_process(event_loop& loop, const agent_settings& settings, const socket_address& backend)
        : loop(loop),
          settings(settings),
          incarnation(this->random.next()),
          local_catalogue(this->invariants),
          limiter(settings.capacity_pieces, this->invariants),
          registry(this->time, attempt_retention, this->invariants),
          client(http_client::create(loop)),
          monitor(
              loop, backend, this->incarnation, [this](bool is_down) { this->on_backend_change(is_down); }),
          crashes(this->time, crash_retention),
          backend_stage(loop,
                        this->time,
                        *this->client,
                        backend,
                        this->local_catalogue,
                        this->limiter,
                        this->registry,
                        this->monitor,
                        this->crashes,
                        this->metrics),
          queue_stage(loop,
                      this->time,
                      this->limiter,
                      settings.request_queue_limits,
                      this->registry,
                      this->metrics,
                      this->backend_stage),
          admission_stage(this->incarnation,
                          this->availability,
                          this->windows,
                          this->crashes,
                          this->registry,
                          this->metrics,
                          this->queue_stage),
          catalogue_applier(settings.host, this->local_catalogue, this->limiter, this->availability),
          connections(loop,
                      this->time,
                      settings,
                      this->incarnation,
                      this->local_catalogue,
                      this->limiter,
                      this->availability,
                      this->windows,
                      this->crashes,
                      [this] { return this->queue_stage.size(); }),
          admin(
              this->metrics,
              this->invariants,
              [this] { return this->unready_reason(); },
              [this] { this->refresh_gauges(); })
    {
        this->local_catalogue.on_change([this] { this->on_catalogue_change(); });
        this->backend_stage.on_crash([this](const crash_report& report, task announced) {
            this->connections.broadcast_crash(report, std::move(announced));
        });
        this->backend_stage.on_capacity_released([this] { this->queue_stage.dispatch_ready(); });
        this->expiry_timer = loop.run_every(expiry_interval, [this] { this->remove_expired_records(); });
    }

    result<void> listen()
    {
        auto created =
            grpc_agent_server::create(this->loop, this->settings.grpc_listen, this->make_handlers());
        if (!created) {
            return tl::make_unexpected(created.error());
        }
        this->server = std::move(*created);
        auto http =
            http_server::create(this->loop,
                                this->settings.http_listen,
                                {},
                                [this](const std::shared_ptr<http_exchange>& exchange) {
                                    if (!this->admin.serve(*exchange)) {
                                        exchange->send_response({status_not_found, {}, "no such page\n"});
                                    }
                                });
        if (!http) {
            return tl::make_unexpected(http.error());
        }
        this->admin_server = std::move(*http);
        write_event(log_event::program_listening,
                    {{"grpc", this->server->address()},
                     {"http", this->admin_server->address()},
                     {"host", this->settings.host}});
        return {};
    }

    // No setting can be reloaded: every change takes effect after a restart only.
    std::vector<std::string> reload(settings_reader& reader) override
    {
        return load_agent_settings(reader) == this->settings ? std::vector<std::string>{}
                                                             : std::vector<std::string>{"all"};
    }

    void stop(task drained_callback) override
    {
        this->availability.set_shutting_down();
        this->connections.broadcast_report();
        this->drained_callback = std::move(drained_callback);
        // Attempts that entries dispatched before they received the report are still answered, with a
        // refusal.
        this->stop_timer = this->loop.run_after(shutdown_notice_delay, [this] { this->begin_drain(); });
    }

private:
    agent_server_handlers make_handlers()
    {
        return {
            [this](auto request, auto stream) { this->on_dispatch(std::move(request), std::move(stream)); },
            [this](const protocol::settle_request& request) { return this->on_settle(request); },
            [this](const std::shared_ptr<entry_stream>& stream) { this->connections.add(stream); },
        };
    }

    void on_dispatch(std::shared_ptr<const protocol::dispatch_request> request,
                     std::shared_ptr<answer_stream> stream)
    {
        const auto now = this->time.now();
        const std::chrono::milliseconds remaining{request->remaining_milliseconds()};
        const auto work_entry = this->local_catalogue.find_work(request->work_entry());
        const metric_labels labels{request->member(),
                                   work_entry == nullptr ? "unknown" : work_entry->work_class};
        const auto attempt = from_message(request->attempt());
        this->admission_stage.accept(
            {attempt, std::move(request), std::move(stream), labels, now, now + remaining});
    }

    protocol::settle_reply on_settle(const protocol::settle_request& request)
    {
        const auto attempt = from_message(request.attempt());
        const bool is_for_this_process = request.agent_incarnation() == this->incarnation;
        protocol::settle_reply reply;
        reply.set_not_run(is_for_this_process && this->registry.prevent_execution(attempt));
        write_event(log_event::attempt_settled,
                    {{"attempt", to_text(attempt)}, {"not_run", reply.not_run() ? "true" : "false"}});
        return reply;
    }

    void on_catalogue_change()
    {
        this->catalogue_applier.apply();
        this->queue_stage.dispatch_ready();
        this->connections.broadcast_report();
        for (const auto& [name, reason] : this->local_catalogue.parse_errors()) {
            write_event(log_event::catalogue_rejected, {{"object", name}, {"detail", reason}});
        }
    }

    void on_backend_change(bool is_down)
    {
        this->availability.set_backend_down(is_down);
        this->connections.broadcast_report();
        if (is_down) {
            this->queue_stage.refuse_all({result_code::backend_unreachable, "the backend server went down"});
        }
    }

    void remove_expired_records()
    {
        this->registry.remove_expired();
        this->crashes.remove_expired();
    }

    void refresh_gauges()
    {
        this->metrics.set_gauge("tanager_entries_connected",
                                static_cast<double>(this->connections.connection_count()));
        this->metrics.set_gauge("tanager_control_sent_bytes",
                                static_cast<double>(this->connections.sent_bytes()));
        this->metrics.set_gauge("tanager_catalogue_revision",
                                static_cast<double>(this->local_catalogue.revision()));
        this->metrics.set_gauge("tanager_pieces_used", this->limiter.used());
    }

    std::string unready_reason() const
    {
        const auto accepts_work = this->availability.check_accepts_work();
        return accepts_work ? std::string{} : accepts_work.error().detail;
    }

    void begin_drain()
    {
        this->stop_timer = this->loop.run_every(drain_check_interval, [this] { this->check_drained(); });
    }

    void check_drained()
    {
        if (this->backend_stage.running_count() > 0 || this->queue_stage.size() > 0) {
            return;
        }
        this->server->refuse_new_calls();
        this->connections.close_all();
        this->admin_server->stop_accepting();
        if (this->connections.connection_count() > 0) {
            return;
        }
        // The timer is not reset here, because it is running this function. It is destroyed with the process.
        const auto finished = std::exchange(this->drained_callback, nullptr);
        if (finished) {
            finished();
        }
    }

    event_loop& loop;
    agent_settings settings;
    system_clock time;
    system_random random;
    std::uint64_t incarnation;
    logging_invariant_monitor invariants;
    metrics_registry metrics;
    catalogue local_catalogue;
    share_limiter limiter;
    attempt_registry registry;
    agent_availability availability;
    claim_window_tracker windows;
    std::unique_ptr<http_client> client;
    backend_health_monitor monitor;
    crash_history crashes;
    backend_filter backend_stage;
    queue_filter queue_stage;
    admission_filter admission_stage;
    agent_catalogue_applier catalogue_applier;
    entry_connections connections;
    admin_endpoints admin;
    std::unique_ptr<http_server> admin_server;
    std::unique_ptr<grpc_agent_server> server;
    std::unique_ptr<loop_timer> expiry_timer;
    std::unique_ptr<loop_timer> stop_timer;
    task drained_callback;
};

} // namespace

result<std::unique_ptr<server_process>> create_agent(event_loop& loop, const agent_settings& settings)
{
    const auto backend = parse_address(settings.backend_address);
    if (!backend) {
        return tl::make_unexpected(backend.error());
    }
    auto process = std::make_unique<agent_process>(loop, settings, *backend);
    const auto listening = process->listen();
    if (!listening) {
        return tl::make_unexpected(listening.error());
    }
    return process;
}

} // namespace tanager
