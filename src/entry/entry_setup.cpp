#include "entry/entry_setup.h"

#include "base/system_clock.h"
#include "base/system_random.h"
#include "base/text.h"
#include "entry/internal/agent_directory.h"
#include "entry/internal/catalogue_readiness.h"
#include "entry/internal/claim_filter.h"
#include "entry/internal/dispatch_filter.h"
#include "entry/internal/error_response.h"
#include "entry/internal/grpc_agent_client.h"
#include "entry/internal/identify_filter.h"
#include "entry/internal/limit_filter.h"
#include "entry/internal/quarantine_filter.h"
#include "logging/event_log.h"
#include "logging/logging_invariant_monitor.h"
#include "membership/watcher_election.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "program/admin_endpoints.h"
#include "store/catalogue_watcher.h"
#include "store/host_list_poller.h"
#include "store/http_object_store.h"

namespace tanager {

namespace {

constexpr std::chrono::milliseconds housekeeping_interval{100};
constexpr std::chrono::minutes crash_retention{10};
// Entries that are not elected watchers multiply their host list interval by this factor.
constexpr int host_list_interval_factor = 10;
constexpr std::chrono::milliseconds drain_check_interval{10};
constexpr std::chrono::seconds claim_flush_timeout{10};

class entry_process final : public server_process {
public:
    entry_process(event_loop& loop, const entry_settings& settings, const socket_address& platform)
        : loop(loop),
          settings(settings),
          incarnation(this->random.next()),
          local_catalogue(this->invariants),
          platform_client(http_client::create(loop)),
          store(http_object_store::create(
              *this->platform_client, platform, {settings.platform_timeout, settings.watch_poll_timeout})),
          watcher(catalogue_watcher::create(loop,
                                            *this->store,
                                            this->local_catalogue,
                                            this->random,
                                            [this] { this->readiness.set_store_read(); })),
          host_poller(host_list_poller::create(
              loop,
              *this->store,
              settings.host_list_interval,
              [this](const std::vector<listed_host>& listed) { this->on_host_list(listed); })),
          agent_rpc_client(loop),
          crashes(this->time, crash_retention),
          directory(loop,
                    this->time,
                    this->random,
                    settings,
                    this->incarnation,
                    this->local_catalogue,
                    this->crashes,
                    this->agent_rpc_client),
          readiness(this->local_catalogue, this->directory, settings.seed_agent_addresses.size()),
          retries(settings.retry_budget_ratio, settings.retry_reserve),
          dispatch_stage(this->make_context()),
          claims(this->make_claim_context()),
          claim_stage(this->claims, this->incarnation, this->metrics, this->dispatch_stage),
          quarantine_stage(this->crashes, this->metrics, this->claim_stage),
          limit_stage(
              settings.max_open_requests,
              [this] { return this->open_requests(); },
              this->metrics,
              this->quarantine_stage),
          identify_stage(this->local_catalogue, this->time, this->metrics, this->limit_stage),
          admin_pages(
              this->metrics,
              this->invariants,
              [this] { return this->not_ready_reason(); },
              [this] { this->refresh_gauges(); })
    {
        this->local_catalogue.on_change([this] { this->on_catalogue_change(); });
        this->housekeeping = loop.run_every(housekeeping_interval, [this] { this->run_housekeeping(); });
        this->watcher->start();
        this->host_poller->start();
    }

    result<void> listen()
    {
        auto created = http_server::create(
            this->loop,
            this->settings.listen_address,
            this->settings.http_limits,
            [this](const std::shared_ptr<http_exchange>& exchange) { this->on_request(exchange); });
        if (!created) {
            return tl::make_unexpected(created.error());
        }
        this->server = std::move(*created);
        write_event(log_event::program_listening,
                    {{"http", this->server->address()}, {"host", this->settings.host}});
        return {};
    }

    // No setting can be changed without a restart.
    std::vector<std::string> reload(settings_reader& reader) override
    {
        return load_entry_settings(reader) == this->settings ? std::vector<std::string>{}
                                                             : std::vector<std::string>{"all"};
    }

    void stop(task on_drained) override
    {
        this->is_stopping = true;
        this->claim_flush_deadline = this->time.now() + claim_flush_timeout;
        this->server->stop_accepting();
        this->on_drained = std::move(on_drained);
        this->stop_timer = this->loop.run_every(drain_check_interval, [this] { this->check_drained(); });
    }

private:
    dispatch_context make_context()
    {
        return {this->loop,
                this->time,
                this->random,
                this->metrics,
                this->invariants,
                this->directory,
                this->agent_rpc_client,
                this->retries,
                this->crashes,
                this->settings,
                this->incarnation,
                this->last_attempt_sequence};
    }

    claim_context make_claim_context()
    {
        return {*this->store,
                this->time,
                [this](duration delay, std::function<void()> callback) {
                    this->run_once_after(delay, std::move(callback));
                },
                [this](const std::string& shard, std::uint64_t window) {
                    this->directory.announce_claim_window(shard, window);
                }};
    }

    void run_once_after(duration delay, std::function<void()> callback)
    {
        const std::uint64_t task_number = ++this->last_delayed_task_number;
        this->delayed_tasks.emplace(
            task_number, this->loop.run_after(delay, [this, task_number, callback = std::move(callback)] {
                const auto timer = this->delayed_tasks.extract(task_number);
                callback();
            }));
    }

    std::size_t open_requests() const
    {
        return this->dispatch_stage.active_request_count() + this->claim_stage.pending_claim_count();
    }

    std::string make_request_id()
    {
        return to_hex(this->incarnation) + "-" + std::to_string(++this->last_request_number);
    }

    void on_request(const std::shared_ptr<http_exchange>& exchange)
    {
        if (this->admin_pages.serve(*exchange)) {
            return;
        }
        const received_request request{this->make_request_id(), exchange, this->time.now()};
        const auto not_ready_error = this->readiness_error();
        if (not_ready_error) {
            send_error_response(request, *not_ready_error, request_outcome::not_run, this->metrics);
            return;
        }
        this->identify_stage.accept(request);
    }

    std::optional<error> readiness_error()
    {
        if (!this->readiness.update()) {
            return error{result_code::not_ready, "this entry has no catalogue yet"};
        }
        return std::nullopt;
    }

    std::string not_ready_reason()
    {
        if (this->is_stopping) {
            return "stopping";
        }
        const auto not_ready_error = this->readiness_error();
        return not_ready_error ? not_ready_error->detail : std::string{};
    }

    void on_catalogue_change()
    {
        this->directory.on_catalogue_change();
        for (const auto& [name, reason] : this->local_catalogue.parse_errors()) {
            write_event(log_event::catalogue_rejected, {{"object", name}, {"detail", reason}});
        }
    }

    void on_host_list(const std::vector<listed_host>& listed)
    {
        this->directory.on_host_list(listed);
        std::vector<std::string> peers;
        for (const auto& row : listed) {
            if (row.group == "entry" && row.data_centre == this->settings.data_centre) {
                peers.push_back(row.host);
            }
        }
        const bool is_watcher =
            is_elected_watcher(this->settings.host, peers, this->settings.watchers_per_data_centre);
        // Entries that are not watchers learn of leaving hosts from the agents.
        const auto interval = this->settings.host_list_interval;
        this->host_poller->set_interval(is_watcher ? interval : interval * host_list_interval_factor);
        if (is_watcher) {
            this->watcher->start();
        } else {
            this->watcher->stop();
        }
    }

    void run_housekeeping()
    {
        this->directory.log_state_changes();
        this->crashes.remove_expired();
    }

    void refresh_gauges()
    {
        this->metrics.set_gauge("tanager_agents_taking_work",
                                static_cast<double>(this->directory.available_agent_count()));
        this->metrics.set_gauge("tanager_agent_links",
                                static_cast<double>(this->directory.connection_count()));
        this->metrics.set_gauge("tanager_requests_open", static_cast<double>(this->open_requests()));
        this->metrics.set_gauge("tanager_catalogue_revision",
                                static_cast<double>(this->local_catalogue.revision()));
        this->metrics.set_gauge("tanager_store_calls_total", static_cast<double>(this->store->calls()));
    }

    void check_drained()
    {
        if (this->open_requests() > 0 || this->server->open_exchanges() > 0 || this->must_wait_for_claims()) {
            return;
        }
        const auto callback = std::exchange(this->on_drained, nullptr);
        if (callback) {
            callback();
        }
    }

    // Outcomes of claimed requests are written before the process ends, unless the store stays unavailable.
    bool must_wait_for_claims() const
    {
        return this->claims.pending_writes() > 0 && this->time.now() < this->claim_flush_deadline;
    }

    event_loop& loop;
    entry_settings settings;
    system_clock time;
    system_random random;
    std::uint64_t incarnation;
    std::uint64_t last_attempt_sequence = 0;
    std::uint64_t last_request_number = 0;
    logging_invariant_monitor invariants;
    metrics_registry metrics;
    catalogue local_catalogue;
    std::unique_ptr<http_client> platform_client;
    std::unique_ptr<http_object_store> store;
    std::shared_ptr<catalogue_watcher> watcher;
    std::shared_ptr<host_list_poller> host_poller;
    grpc_agent_client agent_rpc_client;
    crash_history crashes;
    agent_directory directory;
    catalogue_readiness readiness;
    retry_budget retries;
    dispatch_filter dispatch_stage;
    claim_registry claims;
    claim_filter claim_stage;
    quarantine_filter quarantine_stage;
    limit_filter limit_stage;
    identify_filter identify_stage;
    admin_endpoints admin_pages;
    std::unique_ptr<http_server> server;
    std::unique_ptr<loop_timer> housekeeping;
    std::unique_ptr<loop_timer> stop_timer;
    std::map<std::uint64_t, std::unique_ptr<loop_timer>> delayed_tasks;
    std::uint64_t last_delayed_task_number = 0;
    bool is_stopping = false;
    time_point claim_flush_deadline;
    task on_drained;
};

} // namespace

result<std::unique_ptr<server_process>> create_entry(event_loop& loop, const entry_settings& settings)
{
    const auto platform = parse_address(settings.platform_address);
    if (!platform) {
        return tl::make_unexpected(platform.error());
    }
    auto process = std::make_unique<entry_process>(loop, settings, *platform);
    const auto listening = process->listen();
    if (!listening) {
        return tl::make_unexpected(listening.error());
    }
    return process;
}

} // namespace tanager
