#include "soak/fault_injector.h"

#include <array>
#include <csignal>
#include <vector>

namespace tanager::soak {

namespace {

using namespace std::chrono_literals;

// Phases without and with unplanned faults take turns.
constexpr auto shortest_phase = 4'000ms;
constexpr auto longest_phase = 8'000ms;
constexpr auto shortest_gap = 100ms;
constexpr auto longest_gap = 700ms;
constexpr auto shortest_fault = 200ms;
constexpr auto longest_fault = 2'500ms;
// A backend server goes on serving this long after it has said that it leaves.
constexpr auto leaving_time = 4'000ms;
// A crashed server's entry goes after three missed heartbeats.
constexpr auto entry_lapse = 1'500ms;
constexpr std::size_t fewest_servers = 2;
constexpr unsigned planned_kinds = 5;
constexpr unsigned unplanned_kinds = 16; // the last ones are servers that misbehave

time_point now()
{
    return std::chrono::steady_clock::now();
}

} // namespace

fault_plan::fault_plan(unsigned seed, soak_site& site, callers& traffic, soak_record& record)
    : random(seed), site(site), traffic(traffic), record(record), calm_until(now() + shortest_phase)
{
    this->later(shortest_gap, [this] { this->strike(); });
}

void fault_plan::later(duration delay, step work)
{
    this->due.emplace(now() + delay, std::move(work));
}

duration fault_plan::draw(std::chrono::milliseconds shortest, std::chrono::milliseconds longest)
{
    const auto span = static_cast<unsigned>((longest - shortest).count());
    return shortest + std::chrono::milliseconds{this->random() % span};
}

template <class list_type>
const typename list_type::value_type& fault_plan::pick(const list_type& list)
{
    return list.at(this->random() % list.size());
}

// A gateway that is not under a fault must run on.
void fault_plan::note_unexpected_ends()
{
    for (const auto& host : this->site.hosts()) {
        if (this->is_busy(host) || this->site.is_running(host)) {
            continue;
        }
        const auto name = this->site.gateway_name(host);
        const auto status = this->site.end_gateway(host);
        this->record.unexpected_ends.push_back(name + " ended by itself with " + std::to_string(status));
        this->site.start_gateway(host);
    }
}

void fault_plan::act()
{
    this->note_unexpected_ends();
    while (!this->due.empty() && this->due.begin()->first <= now()) {
        const auto row = this->due.extract(this->due.begin());
        row.mapped()();
    }
}

void fault_plan::heal()
{
    this->is_healing = true;
}

bool fault_plan::is_quiet() const
{
    return this->due.empty();
}

const std::map<std::string, unsigned>& fault_plan::strikes() const
{
    return this->counts;
}

bool fault_plan::is_store_well() const
{
    return this->store_faults == 0;
}

bool fault_plan::is_busy(const std::string& target) const
{
    const auto found = this->busy.find(target);
    return found != this->busy.end() && found->second;
}

void fault_plan::strike()
{
    if (this->is_healing) {
        return;
    }
    if (now() >= this->calm_until) {
        this->is_calm_phase = !this->is_calm_phase;
        this->calm_until = now() + this->draw(shortest_phase, longest_phase);
    }
    const auto draw = static_cast<unsigned>(this->random());
    if (this->is_calm_phase || draw % 3 == 0) {
        this->strike_planned(draw / 3 % planned_kinds);
    } else {
        this->strike_unplanned(draw / 3 % unplanned_kinds);
    }
    this->later(this->draw(shortest_gap, longest_gap), [this] { this->strike(); });
}

void fault_plan::strike_planned(unsigned draw)
{
    const auto hosts = this->site.hosts();
    if (hosts.empty()) {
        return;
    }
    const auto host = this->pick(hosts);
    switch (draw) {
    case 0:
        if (!this->is_busy(host)) {
            this->stop_gateway(host);
        }
        break;
    case 1:
        ++this->counts["reload"];
        this->site.gateway(host).send_signal(SIGHUP);
        break;
    case 2:
        this->server_leaves();
        break;
    default:
        this->change_configuration();
        break;
    }
}

void fault_plan::strike_unplanned(unsigned draw)
{
    const auto hosts = this->site.hosts();
    const auto servers = this->site.servers();
    if (hosts.empty() || servers.empty()) {
        return;
    }
    const auto host = this->pick(hosts);
    const auto link = this->site.store_link(host);
    const auto post = [this](const std::string& address, const std::string& faults) {
        return [this, address, faults] {
            this->post_fault(address, faults);
        };
    };
    switch (draw) {
    case 0:
        this->kill_gateway(host);
        break;
    case 1:
        this->pause_gateway(host);
        break;
    case 2:
        this->server_crashes();
        break;
    case 5:
        this->disturb("store link cut", post(link, "cut=1"), post(link, "cut=0"));
        break;
    case 6:
        this->disturb("store link silent one way", post(link, "stall_down=1"), post(link, "stall_down=0"));
        break;
    case 7:
        this->disturb("store link slow", post(link, "delay_ms=300"), post(link, "delay_ms=0"));
        break;
    case 8:
        this->post_fault(this->site.store_address(), "forget=3");
        ++this->counts["store forgets its history"];
        break;
    case 9:
        this->post_fault(this->site.store_address(), "lost_answer=2");
        ++this->counts["store loses answers"];
        break;
    case 10:
    case 11: {
        const auto* const fault = draw % 2 == 0 ? "outage" : "silent";
        ++this->store_faults;
        this->disturb(std::string{"store "} + fault,
                      post(this->site.store_address(), std::string{fault} + "=1"),
                      [this, end = post(this->site.store_address(), std::string{fault} + "=0")] {
                          --this->store_faults;
                          if (this->store_faults == 0) {
                              this->post_fault(this->site.store_address(), "outage=0&silent=0");
                          }
                          end();
                      });
        break;
    }
    default:
        this->server_misbehaves();
        break;
    }
}

void fault_plan::disturb(const std::string& kind, const step& begin, const step& end)
{
    ++this->counts[kind];
    const auto row = this->record.disturbances.size();
    this->record.disturbances.push_back({now()});
    begin();
    this->later(this->draw(shortest_fault, longest_fault), [this, row, end] {
        end();
        this->record.disturbances[row].ended = now();
    });
}

void fault_plan::post_fault(const std::string& address, const std::string& faults)
{
    this->site.platform().post(address, "/faults?" + faults);
}

void fault_plan::restart_later(const std::string& host, duration delay)
{
    this->later(delay, [this, host] {
        this->site.start_gateway(host);
        this->busy[host] = false;
    });
}

// Callers go on using their connections until the process is gone.
void fault_plan::stop_gateway(const std::string& host)
{
    ++this->counts["gateway stopped"];
    this->busy[host] = true;
    this->record.stops.push_back({this->site.gateway_name(host), now()});
    this->site.gateway(host).send_signal(SIGTERM);
    this->later(shortest_fault, [this, host] { this->await_end(host); });
}

void fault_plan::await_end(const std::string& host)
{
    if (this->site.is_running(host)) {
        this->later(shortest_gap, [this, host] { this->await_end(host); });
        return;
    }
    const auto name = this->site.gateway_name(host);
    if (const int status = this->site.end_gateway(host); status != 0) {
        this->record.unexpected_ends.push_back(name + " stopped with " + std::to_string(status));
    }
    this->restart_later(host, this->draw(shortest_gap, longest_gap));
}

void fault_plan::kill_gateway(const std::string& host)
{
    if (this->is_busy(host)) {
        return;
    }
    this->busy[host] = true;
    this->disturb(
        "gateway killed",
        [this, host] {
            this->site.gateway(host).send_signal(SIGKILL);
            this->site.end_gateway(host);
        },
        [this, host] { this->restart_later(host, shortest_gap); });
}

void fault_plan::pause_gateway(const std::string& host)
{
    if (this->is_busy(host)) {
        return;
    }
    this->busy[host] = true;
    this->disturb(
        "gateway paused",
        [this, host] { this->site.gateway(host).send_signal(SIGSTOP); },
        [this, host] {
            this->site.gateway(host).send_signal(SIGCONT);
            this->busy[host] = false;
        });
}

void fault_plan::server_leaves()
{
    const auto servers = this->site.servers();
    const auto id = this->pick(servers);
    if (this->is_busy(id) || !this->is_store_well()) {
        return;
    }
    ++this->counts["server leaves"];
    this->busy[id] = true;
    this->site.add_server();
    this->site.announce_leaving(id);
    this->later(leaving_time, [this, id] { this->server_ends(id); });
}

// The store must take the end of the entry, so it waits until the store is well.
void fault_plan::server_ends(const std::string& id)
{
    if (!this->is_store_well()) {
        this->later(shortest_gap, [this, id] { this->server_ends(id); });
        return;
    }
    this->site.remove_entry(id);
    this->later(leaving_time, [this, id] { this->site.kill_server(id); });
}

void fault_plan::server_crashes()
{
    const auto servers = this->site.servers();
    const auto id = this->pick(servers);
    if (this->is_busy(id) || !this->is_store_well() || servers.size() <= fewest_servers) {
        return;
    }
    this->busy[id] = true;
    this->disturb(
        "server killed", [this, id] { this->site.kill_server(id); }, [] {});
    this->later(entry_lapse, [this, id] { this->replace_server(id); });
}

void fault_plan::replace_server(const std::string& id)
{
    if (!this->is_store_well()) {
        this->later(shortest_gap, [this, id] { this->replace_server(id); });
        return;
    }
    this->site.remove_entry(id);
    this->site.add_server();
}

void fault_plan::server_misbehaves()
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
    const auto servers = this->site.servers();
    const auto id = this->pick(servers);
    const auto& fault = this->pick(faults);
    if (this->is_busy(id)) {
        return;
    }
    this->busy[id] = true;
    const auto& row = this->site.server(id);
    const auto free = [this, id] {
        this->busy[id] = false;
    };
    if (fault == "pause") {
        this->disturb(
            "server paused",
            [&] { row.process->send_signal(SIGSTOP); },
            [this, id, free] {
                this->site.server(id).process->send_signal(SIGCONT);
                free();
            });
        return;
    }
    const bool is_link = fault.starts_with("link ");
    const auto address = is_link ? row.control : row.direct;
    const auto what = is_link ? fault.substr(5) : fault; // NOLINT(*-magic-numbers)
    const auto off = what.substr(0, what.find('=')) + "=0";
    this->disturb(
        "server: " + what,
        [&] { this->post_fault(address, what); },
        [this, address, off, free] {
            this->post_fault(address, off);
            free();
        });
}

void fault_plan::change_configuration()
{
    if (!this->is_store_well()) {
        return;
    }
    ++this->counts["configuration changed"];
    this->site.add_route(++this->routes);
    this->traffic.use_extra_route(this->routes);
}

} // namespace tanager::soak
