#include "soak/fault_injector.h"

#include <array>
#include <csignal>
#include <vector>

namespace tanager::soak {

namespace {

using namespace std::chrono_literals;

// Phases without and with injected faults alternate.
constexpr auto min_phase = 4'000ms;
constexpr auto max_phase = 8'000ms;
constexpr auto min_gap = 100ms;
constexpr auto max_gap = 700ms;
constexpr auto min_fault_duration = 200ms;
constexpr auto max_fault_duration = 2'500ms;
// How long a backend server keeps serving after its state became draining, and again after its
// deregistration.
constexpr auto drain_time = 4'000ms;
// The entry of a crashed server is removed from the store after three missed heartbeats.
constexpr auto entry_expiry = 1'500ms;
constexpr auto min_copy_age = 500ms;
constexpr auto max_copy_age = 4'000ms;
// The stand-in has written everything again after 0.9 s, and gateways list within a second more.
constexpr auto restore_duration = 2'000ms;
// Between two servers that leave while the store lists them as ready.
constexpr auto min_leaving_gap = 2'000ms;
constexpr auto max_leaving_gap = 6'000ms;
// Of the slow link to the store: 10 Mbit/s, of which requests may take up to half.
constexpr unsigned min_link_rate = 625'000;
constexpr unsigned max_link_rate = 1'250'000;
// How many routes the configuration grows by, once in a run.
constexpr unsigned min_added_routes = 300;
constexpr unsigned max_added_routes = 1'400;
constexpr auto min_growth_delay = 500ms;
constexpr auto max_growth_delay = 4'000ms;
constexpr auto min_away_time = 3'000ms;
constexpr auto max_away_time = 5'000ms;
constexpr auto change_interval = 400ms;
constexpr std::size_t min_servers = 2;
constexpr unsigned planned_kind_count = 5;
constexpr unsigned fault_kind_count = 16; // numbers without a case in inject_fault are server faults

time_point now()
{
    return std::chrono::steady_clock::now();
}

} // namespace

fault_injector::fault_injector(unsigned seed,
                               soak_cluster& cluster,
                               traffic_generator& traffic,
                               soak_record& record)
    : random(seed),
      entry_random(seed),
      leaving_random(seed),
      link_random(seed),
      cluster(cluster),
      traffic(traffic),
      record(record),
      phase_ends_at(now() + min_phase)
{
    this->schedule(min_gap, [this] { this->inject_next(); });
    this->schedule(min_gap, [this] { this->add_foreign_entry(); });
    this->schedule(min_leaving_gap, [this] { this->leave_unlisted(); });
    this->schedule(min_gap, [this] { this->limit_store_link(); });
    this->schedule(min_growth_delay +
                       this->link_random() % (max_growth_delay - min_growth_delay).count() * 1ms,
                   [this] { this->grow_configuration(); });
}

void fault_injector::schedule(duration delay, action work)
{
    this->scheduled_actions.emplace(now() + delay, std::move(work));
}

duration fault_injector::random_duration(std::chrono::milliseconds min, std::chrono::milliseconds max)
{
    const auto span = static_cast<unsigned>((max - min).count());
    return min + std::chrono::milliseconds{this->random() % span};
}

template <class list_type>
const typename list_type::value_type& fault_injector::random_element(const list_type& list)
{
    return list.at(this->random() % list.size());
}

// A gateway without an active fault must not exit.
void fault_injector::record_unexpected_exits()
{
    for (const auto& host : this->cluster.hosts()) {
        if (this->has_active_fault(host) || this->cluster.is_running(host)) {
            continue;
        }
        const auto instance = this->cluster.gateway_instance(host);
        const auto status = this->cluster.wait_for_gateway_exit(host);
        this->record.unexpected_exits.push_back(instance + " exited on its own with status " +
                                                std::to_string(status));
        this->cluster.start_gateway(host);
    }
}

void fault_injector::run_due_actions()
{
    this->record_unexpected_exits();
    while (!this->scheduled_actions.empty() && this->scheduled_actions.begin()->first <= now()) {
        const auto due = this->scheduled_actions.extract(this->scheduled_actions.begin());
        due.mapped()();
    }
}

void fault_injector::stop_injecting()
{
    this->is_stopping = true;
}

bool fault_injector::is_idle() const
{
    return this->scheduled_actions.empty();
}

const std::map<std::string, unsigned>& fault_injector::injected_counts() const
{
    return this->injected_counts_by_kind;
}

bool fault_injector::is_store_healthy() const
{
    return this->active_store_faults == 0;
}

bool fault_injector::has_active_fault(const std::string& target) const
{
    const auto found = this->active_faults.find(target);
    return found != this->active_faults.end() && found->second;
}

void fault_injector::inject_next()
{
    if (this->is_stopping) {
        return;
    }
    if (now() >= this->phase_ends_at) {
        this->is_fault_free_phase = !this->is_fault_free_phase;
        this->phase_ends_at = now() + this->random_duration(min_phase, max_phase);
    }
    const auto draw = static_cast<unsigned>(this->random());
    if (this->is_fault_free_phase || draw % 3 == 0) {
        this->run_planned_operation(draw / 3 % planned_kind_count);
    } else {
        this->inject_fault(draw / 3 % fault_kind_count);
    }
    this->schedule(this->random_duration(min_gap, max_gap), [this] { this->inject_next(); });
}

void fault_injector::run_planned_operation(unsigned kind)
{
    const auto hosts = this->cluster.hosts();
    if (hosts.empty()) {
        return;
    }
    const auto host = this->random_element(hosts);
    switch (kind) {
    case 0:
        if (!this->has_active_fault(host)) {
            this->stop_gateway(host);
        }
        break;
    case 1:
        ++this->injected_counts_by_kind["reload"];
        this->cluster.gateway(host).send_signal(SIGHUP);
        break;
    case 2:
        this->drain_server();
        break;
    default:
        this->change_configuration();
        break;
    }
}

void fault_injector::inject_fault(unsigned kind)
{
    const auto hosts = this->cluster.hosts();
    const auto servers = this->cluster.servers();
    if (hosts.empty() || servers.empty()) {
        return;
    }
    const auto host = this->random_element(hosts);
    const auto proxy_address = this->cluster.store_proxy_control_address(host);
    const auto post = [this](const std::string& address, const std::string& faults) {
        return [this, address, faults] {
            this->post_fault(address, faults);
        };
    };
    switch (kind) {
    case 0:
        this->kill_gateway(host);
        break;
    case 1:
        this->pause_gateway(host);
        break;
    case 2:
        this->crash_server();
        break;
    case 5:
        this->inject_for_interval(
            "store link cut", host, post(proxy_address, "cut=1"), post(proxy_address, "cut=0"));
        break;
    case 6:
        this->inject_for_interval("store link stalled from store to gateway",
                                  host,
                                  post(proxy_address, "stall_down=1"),
                                  post(proxy_address, "stall_down=0"));
        break;
    case 7:
        this->inject_for_interval(
            "store link slow", host, post(proxy_address, "delay_ms=300"), post(proxy_address, "delay_ms=0"));
        break;
    case 8:
        this->post_fault(this->cluster.store_address(), "forget=3");
        ++this->injected_counts_by_kind["store lost its history"];
        break;
    case 9:
        this->post_fault(this->cluster.store_address(), "lost_answer=2");
        ++this->injected_counts_by_kind["store lost responses to writes"];
        break;
    case 10:
    case 11: {
        const auto* const fault = kind % 2 == 0 ? "outage" : "silent";
        ++this->active_store_faults;
        this->inject_for_interval(
            std::string{"store "} + fault,
            {},
            post(this->cluster.store_address(), std::string{fault} + "=1"),
            [this, end = post(this->cluster.store_address(), std::string{fault} + "=0")] {
                --this->active_store_faults;
                if (this->active_store_faults == 0) {
                    this->post_fault(this->cluster.store_address(), "outage=0&silent=0");
                }
                end();
            });
        break;
    }
    case 12:
        this->restore_store();
        break;
    default:
        this->inject_server_fault();
        break;
    }
}

// The store sends its lists in pages, so that a gateway which starts meanwhile lists entries behind this one.
// Draws of its own leave the other faults of a seed as they are.
void fault_injector::add_foreign_entry()
{
    if (this->is_stopping) {
        return;
    }
    this->schedule(min_gap + this->entry_random() % (max_gap - min_gap).count() * 1ms,
                   [this] { this->add_foreign_entry(); });
    static const std::array<std::string, 4> kinds{"servers", "config", "gateways", "quarantines"};
    static const std::array<std::string, 8> names{
        "a&b", "a b", "a#", "%7A", "\xFF", "a\r\nX-Other: 1", "a/b?c", "\xED\xA0\x80"};
    if (!this->is_store_healthy()) {
        return;
    }
    const auto& kind = kinds.at(this->entry_random() % kinds.size());
    const auto& name = names.at(this->entry_random() % names.size());
    ++this->injected_counts_by_kind["entry of another writer"];
    this->cluster.write_foreign_entry(kind, name);
    const auto span = (max_fault_duration - min_fault_duration).count();
    this->schedule(min_fault_duration + this->entry_random() % span * 1ms,
                   [this, kind, name] { this->remove_foreign_entry(kind, name); });
}

void fault_injector::remove_foreign_entry(const std::string& kind, const std::string& name)
{
    if (!this->is_store_healthy()) {
        this->schedule(min_gap, [this, kind, name] { this->remove_foreign_entry(kind, name); });
        return;
    }
    this->cluster.remove_foreign_entry(kind, name);
}

// One gateway has a slow link to the store all the time, which is no fault. Draws of its own leave the faults
// of a seed as they are.
void fault_injector::limit_store_link()
{
    const auto hosts = this->cluster.hosts();
    this->slow_host = hosts.at(this->link_random() % hosts.size());
    const auto rate = min_link_rate + this->link_random() % (max_link_rate - min_link_rate);
    ++this->injected_counts_by_kind["slow link to the store"];
    this->cluster.limit_store_link(this->slow_host, static_cast<unsigned>(rate));
}

void fault_injector::grow_configuration()
{
    if (!this->is_store_healthy()) {
        this->schedule(min_gap, [this] { this->grow_configuration(); });
        return;
    }
    ++this->injected_counts_by_kind["configuration grown"];
    const auto range = max_added_routes - min_added_routes;
    this->cluster.grow_configuration(min_added_routes + static_cast<unsigned>(this->link_random() % range));
    this->schedule(min_gap, [this] { this->turn_away_slow_gateway(); });
}

// The store turns the gateway with the slow link away while the large configuration goes on changing.
void fault_injector::turn_away_slow_gateway()
{
    const auto span = min_away_time + this->link_random() % (max_away_time - min_away_time).count() * 1ms;
    ++this->injected_counts_by_kind["gateway with a slow link turned away"];
    const auto end_interval = this->begin_interval(this->slow_host);
    const auto proxy_address = this->cluster.store_proxy_control_address(this->slow_host);
    this->post_fault(proxy_address, "cut=1");
    for (auto delay = change_interval; delay < span; delay += change_interval) {
        this->schedule(delay, [this] { this->change_configuration(); });
    }
    this->schedule(span, [this, proxy_address, end_interval] {
        this->post_fault(proxy_address, "cut=0");
        end_interval();
    });
}

// The operators' writes wait until what the copy lacks has been written again.
void fault_injector::restore_store()
{
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
        this->random_duration(min_copy_age, max_copy_age));
    ++this->injected_counts_by_kind["store came back from a copy"];
    ++this->active_store_faults;
    const auto end_interval = this->begin_interval({});
    this->post_fault(this->cluster.store_address(), "restore_ms=" + std::to_string(age.count()));
    this->schedule(restore_duration, [this, end_interval] {
        --this->active_store_faults;
        end_interval();
    });
}

fault_injector::action fault_injector::begin_interval(const std::string& target)
{
    const auto index = this->record.fault_intervals.size();
    this->record.fault_intervals.push_back({now(), time_point::max(), target});
    return [this, index] {
        this->record.fault_intervals[index].ended_at = now();
    };
}

void fault_injector::inject_for_interval(const std::string& kind,
                                         const std::string& target,
                                         const action& begin,
                                         const action& end)
{
    ++this->injected_counts_by_kind[kind];
    const auto end_interval = this->begin_interval(target);
    begin();
    this->schedule(this->random_duration(min_fault_duration, max_fault_duration), [end_interval, end] {
        end();
        end_interval();
    });
}

void fault_injector::post_fault(const std::string& address, const std::string& faults)
{
    this->cluster.platform_client().post(address, "/faults?" + faults);
}

void fault_injector::schedule_restart(const std::string& host, duration delay)
{
    this->schedule(delay, [this, host] {
        this->cluster.start_gateway(host);
        this->active_faults[host] = false;
    });
}

// Callers keep using their connections until the process has exited.
void fault_injector::stop_gateway(const std::string& host)
{
    ++this->injected_counts_by_kind["gateway stopped"];
    this->active_faults[host] = true;
    this->record.planned_stops.push_back({this->cluster.gateway_instance(host), now()});
    this->cluster.gateway(host).send_signal(SIGTERM);
    this->schedule(min_fault_duration, [this, host] { this->await_exit(host); });
}

void fault_injector::await_exit(const std::string& host)
{
    if (this->cluster.is_running(host)) {
        this->schedule(min_gap, [this, host] { this->await_exit(host); });
        return;
    }
    const auto instance = this->cluster.gateway_instance(host);
    if (const int status = this->cluster.wait_for_gateway_exit(host); status != 0) {
        this->record.unexpected_exits.push_back(instance + " stopped with status " + std::to_string(status));
    }
    this->schedule_restart(host, this->random_duration(min_gap, max_gap));
}

void fault_injector::kill_gateway(const std::string& host)
{
    if (this->has_active_fault(host)) {
        return;
    }
    this->active_faults[host] = true;
    this->inject_for_interval(
        "gateway killed",
        host,
        [this, host] {
            this->cluster.gateway(host).send_signal(SIGKILL);
            this->cluster.wait_for_gateway_exit(host);
        },
        [this, host] { this->schedule_restart(host, min_gap); });
}

void fault_injector::pause_gateway(const std::string& host)
{
    if (this->has_active_fault(host)) {
        return;
    }
    this->active_faults[host] = true;
    this->inject_for_interval(
        "gateway paused",
        host,
        [this, host] {
            this->record.pauses.push_back({this->cluster.gateway_instance(host), now()});
            this->cluster.gateway(host).send_signal(SIGSTOP);
        },
        [this, host] {
            this->cluster.gateway(host).send_signal(SIGCONT);
            this->active_faults[host] = false;
        });
}

void fault_injector::drain_server()
{
    const auto servers = this->cluster.servers();
    const auto id = this->random_element(servers);
    if (this->has_active_fault(id) || !this->is_store_healthy()) {
        return;
    }
    ++this->injected_counts_by_kind["server drained"];
    this->active_faults[id] = true;
    this->cluster.add_server();
    this->cluster.set_server_draining(id);
    if (this->leaving_random() % 2 == 0) {
        this->cluster.set_server_leaving(id);
    }
    this->schedule(drain_time, [this, id] { this->remove_drained_server(id); });
}

// A server states in its answers that it leaves; its entry stays as it is until it is removed. Faults of the
// store and of gateways may be active meanwhile. Draws of its own leave the other faults of a seed as they
// are.
void fault_injector::leave_unlisted()
{
    if (this->is_stopping) {
        return;
    }
    this->schedule(min_leaving_gap +
                       this->leaving_random() % (max_leaving_gap - min_leaving_gap).count() * 1ms,
                   [this] { this->leave_unlisted(); });
    const auto servers = this->cluster.servers();
    const auto& id = servers.at(this->leaving_random() % servers.size());
    if (this->has_active_fault(id) || !this->is_store_healthy()) {
        return;
    }
    ++this->injected_counts_by_kind["server left unlisted"];
    this->active_faults[id] = true;
    this->cluster.add_server();
    this->cluster.set_server_leaving(id);
    this->schedule(drain_time, [this, id] { this->remove_drained_server(id); });
}

// Deregistration writes to the store, so it waits until no store fault is active.
void fault_injector::remove_drained_server(const std::string& id)
{
    if (!this->is_store_healthy()) {
        this->schedule(min_gap, [this, id] { this->remove_drained_server(id); });
        return;
    }
    this->cluster.deregister_server(id);
    this->schedule(drain_time, [this, id] { this->cluster.kill_server(id); });
}

void fault_injector::crash_server()
{
    const auto servers = this->cluster.servers();
    const auto id = this->random_element(servers);
    if (this->has_active_fault(id) || !this->is_store_healthy() || servers.size() <= min_servers) {
        return;
    }
    this->active_faults[id] = true;
    this->inject_for_interval(
        "server killed", id, [this, id] { this->cluster.kill_server(id); }, [] {});
    this->schedule(entry_expiry, [this, id] { this->replace_server(id); });
}

void fault_injector::replace_server(const std::string& id)
{
    if (!this->is_store_healthy()) {
        this->schedule(min_gap, [this, id] { this->replace_server(id); });
        return;
    }
    this->cluster.deregister_server(id);
    this->cluster.add_server();
}

void fault_injector::inject_server_fault()
{
    static const std::array<std::string, 10> faults{"refuse=3",
                                                    "cut=2",
                                                    "foreign=2",
                                                    "unsigned=2",
                                                    "extra=2",
                                                    "link cut=1",
                                                    "link stall_up=1",
                                                    "link stall_down=1",
                                                    "link delay_ms=200",
                                                    "pause"};
    const auto servers = this->cluster.servers();
    const auto id = this->random_element(servers);
    const auto& fault = this->random_element(faults);
    if (this->has_active_fault(id)) {
        return;
    }
    this->active_faults[id] = true;
    const auto& server = this->cluster.server(id);
    const auto clear_active_fault = [this, id] {
        this->active_faults[id] = false;
    };
    if (fault == "pause") {
        this->inject_for_interval(
            "server paused",
            id,
            [&] { server.process->send_signal(SIGSTOP); },
            [this, id, clear_active_fault] {
                this->cluster.server(id).process->send_signal(SIGCONT);
                clear_active_fault();
            });
        return;
    }
    const bool is_proxy_fault = fault.starts_with("link ");
    const auto address = is_proxy_fault ? server.proxy_control_address : server.process_address;
    const auto fault_query = is_proxy_fault ? fault.substr(5) : fault; // NOLINT(*-magic-numbers)
    const auto reset_query = fault_query.substr(0, fault_query.find('=')) + "=0";
    this->inject_for_interval(
        "server: " + fault_query,
        id,
        [&] { this->post_fault(address, fault_query); },
        [this, address, reset_query, clear_active_fault] {
            this->post_fault(address, reset_query);
            clear_active_fault();
        });
}

void fault_injector::change_configuration()
{
    if (!this->is_store_healthy()) {
        return;
    }
    ++this->injected_counts_by_kind["configuration changed"];
    this->cluster.add_route(++this->last_route_number);
    this->record.added_routes.push_back({this->last_route_number, now()});
    this->traffic.add_route(this->last_route_number);
}

} // namespace tanager::soak
