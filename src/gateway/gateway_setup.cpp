#include "gateway/gateway_setup.h"

#include "base/boot_time_clock.h"
#include "base/system_clock.h"
#include "base/system_random.h"
#include "duties/usage_reporter.h"
#include "gateway/crash_quarantine.h"
#include "gateway/internal/configuration_observer.h"
#include "gateway/internal/quarantine_archive.h"
#include "gateway/internal/request_handler.h"
#include "gateway/internal/role_controller.h"
#include "gateway/internal/server_observer.h"
#include "limits/fleet_retry_share.h"
#include "logging/event_log.h"
#include "logging/logging_invariant_monitor.h"
#include "net/connect_probe.h"
#include "net/http_server.h"
#include "peers/peer_exchange.h"
#include "program/admin_endpoints.h"
#include "store/observed_object_store.h"

#include <algorithm>
#include <limits>

namespace tanager {

namespace {

constexpr int status_ok = 200;
constexpr int status_unavailable = 503;
// New connections are accepted for this long after SIGTERM: the load balancer checks readiness once a second
// and stops sending after two failures.
constexpr std::chrono::milliseconds accept_time_after_stop{2'500};
// Changes of the configuration and of servers within this window are applied together. It is a tenth of the
// shortest time in which users require a change to take effect.
constexpr std::chrono::milliseconds watch_batch_window{200};
// Bounds for how long a change of the configuration or of a server is missed when a connection is dead.
constexpr std::chrono::milliseconds watch_wait{2'200};
// Gateways tell each other of quarantines at once; the store is for those that start later.
constexpr std::chrono::milliseconds quarantine_watch_wait{10'000};
// Time at the end of the stop grace that is reserved for sending the last responses.
constexpr std::chrono::milliseconds shutdown_margin{400};
constexpr std::chrono::milliseconds drain_check_interval{20};
// Interval for granting slots that other gateways' requests released, and for expiring queued requests.
// Reports of the peers may come many times as often.
constexpr std::chrono::milliseconds queue_processing_interval{5};
constexpr std::chrono::milliseconds housekeeping_interval{100};
constexpr std::chrono::milliseconds role_control_interval{500};
// Bounds the lines on a full link.
constexpr std::chrono::seconds link_log_interval{1};
// A peer counts as having room, in the log, when a prompt waits no longer than this: an eighth of the
// objective of long prompts.
constexpr std::chrono::milliseconds max_wait_on_roomy_link{50};
// Short compared with the lease of a duty.
constexpr std::chrono::milliseconds duty_check_interval{100};
// Long enough that a server keeps its measurements while its entry is briefly missing.
constexpr std::chrono::minutes cleanup_interval{1};
// A longer time between two housekeeping runs means that the process was suspended.
constexpr std::chrono::milliseconds max_housekeeping_gap{400};
// Descriptors not available to callers: for connections to servers, the store and operators, and for files.
constexpr int reserved_descriptors = 800;
// For all buffered responses together, on hosts with 160 MB or more. A response has some kilobytes.
constexpr std::size_t max_response_buffer_bytes = std::size_t{32} * 1024 * 1024;
// An ended process refuses a connection within a round trip.
constexpr std::chrono::milliseconds connect_probe_timeout{250};
// A predecessor on the same addresses ends within its stop grace, which is 8 s on the users' sites.
constexpr std::chrono::milliseconds max_bind_wait{10'000};
constexpr std::size_t bytes_per_megabyte = std::size_t{1024} * 1024;
// Requests and responses on callers' connections may take a quarter of the memory. The rest is for the copies
// of requests on their way to servers, buffered responses (`max_response_buffer_bytes`) and the process
// itself.
constexpr std::size_t caller_memory_divisor = 4;
constexpr std::size_t admin_memory_divisor = 32;

// The loads reported by the other gateways; empty until the exchange with them has been set up.
class peer_exchange_load_view final : public peer_load_view {
public:
    void set_exchange(const peer_exchange& new_exchange)
    {
        this->exchange = &new_exchange;
    }

    load_counts load_of(const std::string& server_id) const override
    {
        if (this->exchange == nullptr) {
            return {};
        }
        const auto load = this->exchange->known_loads().on_server(server_id);
        return {load.running, load.pending_prefill_tokens, load.long_outputs};
    }

    std::uint32_t prompts_per_second(const std::string& service) const override
    {
        return this->exchange == nullptr ? 0 : this->exchange->known_loads().prompts_per_second(service);
    }

    duration report_age() const override
    {
        return this->exchange == nullptr ? duration{0} : this->exchange->max_report_age();
    }

    bool should_isolate_long_outputs(const std::string& service) const override
    {
        return this->exchange != nullptr &&
               this->exchange->known_loads().should_isolate_long_outputs(service);
    }

    gateways_with_room link_room(duration max_wait) const override
    {
        if (this->exchange == nullptr) {
            return {};
        }
        const auto& loads = this->exchange->known_loads();
        return {loads.peers_with_link_room(max_wait), loads.live_peer_count()};
    }

    bool is_changing_role(const std::string& server_id) const override
    {
        return this->exchange != nullptr && this->exchange->is_changing_role(server_id);
    }

private:
    const peer_exchange* exchange = nullptr;
};

std::chrono::milliseconds configuration_wait(const gateway_settings& settings)
{
    return settings.callers.fail_closed ? std::min(watch_wait, caller_gate(settings.callers).max_watch_wait())
                                        : watch_wait;
}

class probing_connector final : public server_connector {
public:
    explicit probing_connector(event_loop& loop) : loop(loop) {}

    void try_connect(const socket_address& address, std::function<void(bool is_accepted)> callback) override
    {
        probe_connection(this->loop, address, connect_probe_timeout, std::move(callback));
    }

private:
    event_loop& loop;
};

class peer_suspicion_channel final : public suspicion_channel {
public:
    explicit peer_suspicion_channel(peer_exchange& exchange) : exchange(exchange) {}

    void send_to_all(const std::string& message) override
    {
        this->exchange.send_to_all(message_topic::suspicions, message);
    }

    void send_to_some(const std::string& message) override
    {
        this->exchange.send_to_some(message_topic::suspicions, message);
    }

private:
    peer_exchange& exchange;
};

class peer_duty_channel final : public duty_channel {
public:
    explicit peer_duty_channel(peer_exchange& exchange) : exchange(exchange) {}

    void send_to_all(const std::string& message) override
    {
        this->exchange.send_to_all(message_topic::usage, message);
    }

    void send_to(const std::string& gateway, const std::string& message) override
    {
        this->exchange.send_to(gateway, message_topic::usage, message);
    }

    std::vector<std::string> live_gateways() const override
    {
        return this->exchange.known_loads().peer_names();
    }

private:
    peer_exchange& exchange;
};

class pool_engine_availability final : public engine_availability {
public:
    explicit pool_engine_availability(server_pool& pool) : pool(pool) {}

    bool takes_work(const std::string& engine_id) const override
    {
        return this->pool.servers().takes_work(engine_id);
    }

    void record_leaving(const backend_server& asked,
                        leaving_statement statement,
                        answer_kind answer,
                        int status) override
    {
        this->pool.record_leaving(asked, statement, answer, status);
    }

private:
    server_pool& pool;
};

// Counts only once the reporter has been set up, which needs the exchange with the peers.
class late_usage_recorder final : public usage_recorder {
public:
    void set_recorder(usage_recorder* new_recorder)
    {
        this->recorder = new_recorder;
    }

    void record_began(const std::string& organisation) override
    {
        if (this->recorder != nullptr) {
            this->recorder->record_began(organisation);
        }
    }

private:
    usage_recorder* recorder = nullptr;
};

class gateway_process final : public server_process {
public:
    gateway_process(event_loop& loop,
                    const gateway_settings& settings,
                    platform_adapter platform,
                    const socket_address& store_address)
        : loop(loop),
          settings(settings),
          platform(std::move(platform)),
          client(http_client::create(loop)),
          store_client(http_client::create(loop)),
          platform_store(this->platform.make_store(loop, *this->store_client, store_address)),
          store(this->time, this->metrics, *this->platform_store),
          relay(this->relay_time, this->random, this->store),
          pool(this->time, settings.data_centre, settings.store_recovery_grace, this->peer_loads),
          link(this->time, settings.link_megabits_per_second),
          demand(this->time),
          scheduler(this->time, this->random, this->pool, this->link, this->demand),
          hedges(this->time, settings.hedging),
          retries(share_of_fleet(settings.retry_bound, std::nullopt)),
          connector(loop),
          quarantine(this->time, this->metrics, this->connector),
          quarantines(this->time, this->random, this->relay, this->quarantine),
          callers(this->relay_time,
                  *this->platform.caller_codec,
                  this->routes,
                  settings.callers,
                  [this] { return this->configuration_current_at(); }),
          configuration_handler(*this->platform.object_codec, this->routes),
          server_handler(*this->platform.object_codec, this->pool.servers()),
          configuration_watcher(object_watcher::create(loop,
                                                       this->relay,
                                                       this->random,
                                                       this->platform.object_codec->configuration_prefix(),
                                                       this->configuration_handler,
                                                       {watch_batch_window, configuration_wait(settings)})),
          server_watcher(object_watcher::create(loop,
                                                this->relay,
                                                this->random,
                                                this->platform.object_codec->server_prefix(),
                                                this->server_handler,
                                                {watch_batch_window, watch_wait})),
          quarantine_watcher(object_watcher::create(loop,
                                                    this->relay,
                                                    this->random,
                                                    quarantine_archive::prefix,
                                                    this->quarantines,
                                                    {watch_batch_window, quarantine_watch_wait})),
          admin(
              this->metrics,
              this->invariants,
              [this] { return this->unready_reason(); },
              [this] { this->refresh_gauges(); })
    {
        this->handler = std::make_unique<request_handler>(this->make_context(),
                                                          this->routes,
                                                          settings.max_open_requests,
                                                          [this] { return this->unknown_state(); });
        this->last_housekeeping_at = this->time.now();
        this->queue_timer =
            loop.run_every(queue_processing_interval, [this] { this->scheduler.process_queues(); });
        this->housekeeping_timer =
            loop.run_every(housekeeping_interval, [this] { this->run_housekeeping(); });
        this->cleanup_timer = loop.run_every(cleanup_interval, [this] { this->remove_unlisted(); });
        this->configuration_watcher->start();
        this->server_watcher->start();
        this->quarantine_watcher->start();
    }

    result<void> listen()
    {
        auto admin_limits = this->settings.http_limits;
        admin_limits.max_bind_wait = max_bind_wait;
        const auto memory_bytes = this->settings.memory_megabytes * bytes_per_megabyte;
        admin_limits.max_connection_memory = memory_bytes / admin_memory_divisor;
        auto limits = admin_limits;
        limits.max_connection_memory = memory_bytes / caller_memory_divisor;
        limits.max_descriptors =
            std::max(limits.max_descriptors / 2, limits.max_descriptors - reserved_descriptors);
        auto caller_server = http_server::create(
            this->loop,
            this->settings.listen_address,
            limits,
            [this](const std::shared_ptr<http_exchange>& exchange) { this->handler->handle(exchange); });
        if (!caller_server) {
            return tl::make_unexpected(caller_server.error());
        }
        this->server = std::move(*caller_server);
        auto operator_server = http_server::create(this->loop,
                                                   this->settings.admin_address,
                                                   admin_limits,
                                                   [this](const std::shared_ptr<http_exchange>& exchange) {
                                                       this->handle_admin_request(*exchange);
                                                   });
        if (!operator_server) {
            return tl::make_unexpected(operator_server.error());
        }
        this->admin_server = std::move(*operator_server);
        auto exchange = peer_exchange::create(
            this->loop,
            this->time,
            this->relay,
            this->random,
            {this->settings.host, this->settings.data_centre, this->settings.peer_address, max_bind_wait},
            this->link,
            [this] { return this->report_load(); },
            [this](const load_report& report) {
                this->pool.record_peer_prefixes(report.new_prefixes);
                this->pool.record_peer_event_times(report.event_times);
            });
        if (!exchange) {
            return tl::make_unexpected(exchange.error());
        }
        this->peers = std::move(*exchange);
        this->peer_loads.set_exchange(*this->peers);
        this->suspicions = std::make_unique<peer_suspicion_channel>(*this->peers);
        this->quarantine.set_channel(this->suspicions.get());
        this->peers->set_message_handler(message_topic::suspicions, [this](std::string_view message) {
            this->receive_suspicions(message);
        });
        this->pool.set_load_change_callback([this] { this->peers->mark_load_changed(); });
        this->pool.set_leaving_callback([this](answer_kind answer) {
            this->metrics.increment_counter("tanager_servers_leaving_total",
                                            "answer=\"" + std::string{name_of(answer)} + "\"");
        });
        this->roles = std::make_unique<role_controller>(
            this->time,
            this->settings.host,
            this->routes,
            this->pool,
            this->demand,
            *this->peers,
            role_order_sender::create(this->time,
                                      this->store,
                                      *this->client,
                                      *this->platform.engines,
                                      this->engines,
                                      {this->settings.host, this->settings.role_order_lease}),
            role_policy{this->settings.min_role_gain_ratio});
        this->start_usage_reports();
        this->role_timer = this->loop.run_every(role_control_interval, [this] { this->roles->reconcile(); });
        write_event(log_event::program_listening,
                    {{"http", this->server->address()},
                     {"pages", this->admin_server->address()},
                     {"host", this->settings.host}});
        return {};
    }

    std::vector<std::string> reload(settings_reader& reader) override
    {
        const auto new_settings = load_gateway_settings(reader);
        if (!reader.problems().empty()) {
            return {};
        }
        auto settings_to_compare = new_settings;
        settings_to_compare.stop_grace = this->settings.stop_grace;
        settings_to_compare.max_open_requests = this->settings.max_open_requests;
        settings_to_compare.hedging = this->settings.hedging;
        this->settings.hedging = new_settings.hedging;
        this->hedges.set_policy(new_settings.hedging);
        this->settings.stop_grace = new_settings.stop_grace;
        this->settings.max_open_requests = new_settings.max_open_requests;
        this->handler->set_max_open_requests(new_settings.max_open_requests);
        return settings_to_compare == this->settings
                   ? std::vector<std::string>{}
                   : std::vector<std::string>{"addresses, limits of http, retries"};
    }

    void stop(task finished) override
    {
        this->on_drained = std::move(finished);
        this->stopped_at = this->time.now();
        this->server->disable_keep_alive();
        if (this->usage) {
            this->usage->leave();
        }
        this->peers->leave();
        this->role_timer.reset();
        this->roles->reset();
        this->stop_timer = this->loop.run_every(drain_check_interval, [this] { this->check_drained(); });
    }

private:
    void handle_admin_request(http_exchange& exchange)
    {
        if (exchange.request().path == this->platform.readiness_path) {
            const auto reason = this->unready_reason();
            exchange.send_response({reason.empty() ? status_ok : status_unavailable,
                                    {{"Content-Type", "text/plain"}},
                                    (reason.empty() ? "ready" : reason) + "\n"});
            return;
        }
        if (!this->admin.serve(exchange)) {
            exchange.send_response({http_status_of(result_code::path_unknown), {}, {}});
        }
    }

    // Nothing of this runs where the platform does not ask for it.
    void start_usage_reports()
    {
        const auto address = parse_address(this->settings.duty_address);
        if (!address || std::ranges::find(this->settings.duties, this->platform.usage_duty) ==
                            this->settings.duties.end()) {
            return;
        }
        this->duties = std::make_unique<peer_duty_channel>(*this->peers);
        this->usage = std::make_unique<usage_reporter>(
            this->relay_time,
            this->store,
            *this->client,
            *this->platform.usage,
            *this->duties,
            this->metrics,
            this->random,
            usage_settings{{this->settings.host, this->settings.role_order_lease},
                           *address,
                           this->settings.usage,
                           this->settings.duty_calls_per_second});
        this->usage_counts.set_recorder(this->usage.get());
        this->peers->set_message_handler(message_topic::usage, [this](std::string_view message) {
            const auto received = this->usage->receive(message);
            if (!received) {
                write_event(log_event::frame_dropped, {{"detail", received.error().detail}});
            }
        });
        this->usage_timer = this->loop.run_every(duty_check_interval, [this] { this->usage->check(); });
    }

    void receive_suspicions(std::string_view message)
    {
        const auto received = this->quarantine.receive(message);
        if (!received) {
            write_event(log_event::frame_dropped, {{"detail", received.error().detail}});
        }
    }

    load_report report_load()
    {
        load_report report;
        for (const auto& [id, local] : this->pool.local_loads()) {
            report.loads.push_back(
                {name_hash(id), local.running_requests, local.pending_prefill_tokens, local.long_outputs});
        }
        for (const auto& [service, prompts] : this->demand.prompts_last_second()) {
            report.demands.push_back(
                {name_hash(service), prompts, this->pool.should_isolate_long_outputs(service)});
        }
        report.new_prefixes = this->pool.new_prefixes();
        report.link_wait_milliseconds = static_cast<std::uint32_t>(std::min<std::int64_t>(
            std::chrono::ceil<std::chrono::milliseconds>(this->scheduler.link_wait()).count(),
            std::numeric_limits<std::uint32_t>::max()));
        report.event_times = this->pool.take_event_times(this->peers->known_loads().live_peer_count());
        return report;
    }

    forwarding_context make_context()
    {
        return {this->loop,
                this->time,
                this->metrics,
                *this->platform.caller_codec,
                *this->client,
                this->pool,
                this->scheduler,
                this->retries,
                this->demand,
                this->link,
                this->caller_timeouts,
                this->response_buffer_budget,
                this->quarantine,
                this->callers,
                this->organisations,
                this->hedges,
                &this->usage_counts};
    }

    std::optional<time_point> configuration_current_at() const
    {
        return this->configuration_handler.is_newest_in_force()
                   ? this->relay.current_as_of(this->platform.object_codec->configuration_prefix())
                   : std::nullopt;
    }

    std::string unready_reason() const
    {
        if (this->on_drained) {
            return "stopping";
        }
        return this->unknown_state();
    }

    // Returns what this gateway must learn from the store before it takes requests.
    std::string unknown_state() const
    {
        if (!this->routes.has_configuration()) {
            return "no configuration is known yet";
        }
        if (!this->server_handler.is_known()) {
            return "no list of servers is known yet";
        }
        return this->quarantines.is_known() ? std::string{} : "no quarantines are known yet";
    }

    void run_housekeeping()
    {
        const auto now = this->time.now();
        const auto time_between_runs = now - this->last_housekeeping_at;
        this->last_housekeeping_at = now;
        if (time_between_runs > max_housekeeping_gap) {
            this->roles->reset();
            write_event(
                log_event::loop_gap,
                {{"gap_ms",
                  std::to_string(
                      std::chrono::duration_cast<std::chrono::milliseconds>(time_between_runs).count())}});
        }
        this->update_retry_share(time_between_runs);
        this->report_full_link();
        // Stale reports cost the other gateways' callers; where organisations share what is short, the small
        // host's own callers go before them.
        this->peers->set_spares_link(this->routes.organisations() != nullptr);
        this->pool.rate_speeds();
        this->quarantine.check();
        this->quarantines.check();
        this->callers.check();
        for (const auto& id : this->pool.servers().expire()) {
            write_event(log_event::server_unlisted,
                        {{"server", id}, {"detail", "not back after the store returned"}});
        }
    }

    // Logs once a second that the link could not carry requests.
    void report_full_link()
    {
        const auto now = this->time.now();
        const auto refused = this->scheduler.link_refusal_count();
        if (refused == this->logged_link_refusals || now - this->link_logged_at < link_log_interval) {
            return;
        }
        const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(this->scheduler.link_wait());
        const auto peers = this->peer_loads.link_room(max_wait_on_roomy_link);
        write_event(log_event::link_full,
                    {{"refused", std::to_string(refused - this->logged_link_refusals)},
                     {"wait_ms", std::to_string(wait.count())},
                     {"peers", std::to_string(peers.all)},
                     {"peers_with_room", std::to_string(peers.able)}});
        this->logged_link_refusals = refused;
        this->link_logged_at = now;
    }

    // Counts the gateways and takes this one's share of the retries that all may use.
    void update_retry_share(duration elapsed)
    {
        const auto now = this->time.now();
        const auto live_peers = this->peers->known_loads().live_peer_count();
        const auto listed_peers = this->peers->listed_peer_count();
        this->retries.add_time(elapsed);
        this->gateway_count.record(now, live_peers, listed_peers);
        const auto share = share_of_fleet(this->settings.retry_bound, this->gateway_count.count(now));
        if (share == this->retries.allowance()) {
            return;
        }
        this->retries.set_allowance(share);
        write_event(log_event::retry_share_changed,
                    {{"gateways", std::to_string(share.gateway_count)},
                     {"age_ms",
                      std::to_string(
                          std::chrono::duration_cast<std::chrono::milliseconds>(this->gateway_count.age(now))
                              .count())},
                     {"live", std::to_string(live_peers + 1)},
                     {"listed", std::to_string(listed_peers.value_or(0) + 1)},
                     {"max_balance", std::to_string(share.max_balance)},
                     {"per_second", std::to_string(share.retries_per_second)}});
    }

    // Drops the measurements of servers and routes that no longer exist.
    void remove_unlisted()
    {
        this->pool.remove_unlisted();
        this->caller_timeouts.keep_only(this->routes.route_names());
        this->hedges.keep_only(this->routes.route_names());
    }

    void refresh_gauges()
    {
        if (this->usage) {
            this->usage->refresh_gauges();
        }
        this->metrics.set_gauge("tanager_requests_open", static_cast<double>(this->handler->open_requests()));
        this->metrics.set_gauge("tanager_requests_waiting",
                                static_cast<double>(this->scheduler.queued_count()));
        this->metrics.set_gauge("tanager_link_wait_seconds",
                                std::chrono::duration<double>(this->scheduler.link_wait()).count());
        this->metrics.set_gauge("tanager_link_refusals",
                                static_cast<double>(this->scheduler.link_refusal_count()));
        this->metrics.set_gauge("tanager_organisations_counted",
                                static_cast<double>(this->scheduler.counted_organisations()));
        this->metrics.set_gauge("tanager_peers_heard",
                                static_cast<double>(this->peers->known_loads().live_peer_count()));
        this->metrics.set_gauge("tanager_store_watcher", this->peers->is_elected_watcher() ? 1 : 0);
        if (const auto age = this->callers.configuration_age()) {
            this->metrics.set_gauge("tanager_configuration_age_seconds",
                                    std::chrono::duration<double>(*age).count());
        }
        for (const auto& feed : this->relay.feed_statuses()) {
            const auto series = R"(prefix=")" + feed.prefix + '"';
            this->metrics.set_gauge("tanager_feed_age_seconds",
                                    std::chrono::duration<double>(feed.confirmation_age).count(),
                                    series);
            this->metrics.set_gauge("tanager_feed_missing_seconds",
                                    std::chrono::duration<double>(feed.missing_for).count(),
                                    series);
            this->metrics.set_gauge(
                "tanager_feed_missing_revisions", static_cast<double>(feed.missing_revisions), series);
        }
        this->metrics.set_gauge("tanager_configuration_version", static_cast<double>(this->routes.version()));
        const auto& quarantined = this->quarantine.quarantined();
        const auto contents = std::ranges::count_if(quarantined, &request_trait::is_content);
        this->metrics.set_gauge("tanager_requests_quarantined", static_cast<double>(contents));
        this->metrics.set_gauge("tanager_prompt_parts_quarantined",
                                static_cast<double>(std::ssize(quarantined) - contents));
        const auto& share = this->retries.allowance();
        const auto counted_age = this->gateway_count.age(this->time.now());
        this->metrics.set_gauge("tanager_retry_balance_min", this->retries.min_balance());
        this->metrics.set_gauge("tanager_retry_balance_max", share.max_balance);
        this->metrics.set_gauge("tanager_retry_gateways_counted", static_cast<double>(share.gateway_count));
        this->metrics.set_gauge("tanager_retry_gateways_age_seconds",
                                std::chrono::duration<double>(counted_age).count());
        this->metrics.set_gauge("tanager_engines_too_slow",
                                static_cast<double>(this->pool.count_speed(decode_speed::too_slow)));
        this->metrics.set_gauge("tanager_engines_of_unknown_speed",
                                static_cast<double>(this->pool.count_speed(decode_speed::unknown)));
        this->metrics.set_gauge("tanager_servers_taking_work",
                                static_cast<double>(this->pool.servers().serving().size()));
    }

    void check_drained()
    {
        const auto time_since_stop = this->time.now() - this->stopped_at;
        if (time_since_stop < accept_time_after_stop) {
            return;
        }
        this->server->stop_accepting();
        this->handler->set_shutdown_deadline(this->stopped_at + this->settings.stop_grace - shutdown_margin);
        const bool is_idle = this->handler->open_requests() == 0 && this->server->open_exchanges() == 0;
        if (!is_idle && time_since_stop < this->settings.stop_grace - shutdown_margin) {
            return;
        }
        const auto finished = std::exchange(this->on_drained, nullptr);
        if (finished && this->usage) {
            this->usage->flush();
        }
        if (finished) {
            finished();
        }
    }

    event_loop& loop;
    gateway_settings settings;
    platform_adapter platform;
    system_clock time;
    system_random random;
    logging_invariant_monitor invariants;
    metrics_registry metrics;
    std::unique_ptr<http_client> client;
    std::unique_ptr<http_client> store_client;
    std::unique_ptr<object_store> platform_store;
    observed_object_store store;
    boot_time_clock relay_time;
    watch_relay relay;
    peer_exchange_load_view peer_loads;
    route_directory routes;
    server_pool pool;
    pool_engine_availability engines{this->pool};
    uplink_queue_model link;
    caller_timeout_tracker caller_timeouts;
    byte_budget response_buffer_budget{max_response_buffer_bytes};
    demand_meter demand;
    request_scheduler scheduler;
    hedge_limiter hedges;
    retry_budget retries;
    gateway_count_tracker gateway_count;
    probing_connector connector;
    crash_quarantine quarantine;
    quarantine_archive quarantines;
    caller_identification callers;
    organisation_metrics organisations{this->metrics};
    configuration_observer configuration_handler;
    server_observer server_handler;
    std::shared_ptr<object_watcher> configuration_watcher;
    std::shared_ptr<object_watcher> server_watcher;
    std::shared_ptr<object_watcher> quarantine_watcher;
    admin_endpoints admin;
    std::unique_ptr<request_handler> handler;
    std::unique_ptr<http_server> server;
    std::unique_ptr<http_server> admin_server;
    std::unique_ptr<peer_exchange> peers;
    std::unique_ptr<peer_suspicion_channel> suspicions;
    late_usage_recorder usage_counts;
    std::unique_ptr<peer_duty_channel> duties;
    std::unique_ptr<usage_reporter> usage;
    std::unique_ptr<role_controller> roles;
    std::unique_ptr<loop_timer> usage_timer;
    std::unique_ptr<loop_timer> role_timer;
    std::unique_ptr<loop_timer> queue_timer;
    std::unique_ptr<loop_timer> housekeeping_timer;
    std::unique_ptr<loop_timer> cleanup_timer;
    std::unique_ptr<loop_timer> stop_timer;
    time_point last_housekeeping_at;
    time_point stopped_at;
    std::uint64_t logged_link_refusals = 0;
    time_point link_logged_at;
    task on_drained;
};

} // namespace

result<std::unique_ptr<server_process>>
create_gateway(event_loop& loop, const gateway_settings& settings, platform_adapter platform)
{
    const auto store = parse_address(settings.store_address);
    if (!store) {
        return tl::make_unexpected(store.error());
    }
    auto process = std::make_unique<gateway_process>(loop, settings, std::move(platform), *store);
    const auto listening = process->listen();
    if (!listening) {
        return tl::make_unexpected(listening.error());
    }
    return process;
}

} // namespace tanager
