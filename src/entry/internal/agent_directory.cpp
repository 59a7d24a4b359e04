#include "entry/internal/agent_directory.h"

#include "base/digest.h"
#include "logging/event_log.h"
#include "protocol/catalogue_codec.h"
#include "quarantine/crash_report_codec.h"

#include <algorithm>

namespace tanager {

namespace {

// An agent is suspected after this many missed reports, plus a grace period for network delay.
constexpr int max_missed_reports = 3;
constexpr std::chrono::milliseconds report_grace{500};
constexpr std::chrono::milliseconds min_pull_interval{500};
// The report interval grows with the number of connections, so that the reports of all agents together
// arrive at this interval. This bounds the processor time that an entry spends on them.
constexpr std::chrono::milliseconds report_interval_per_connection{25};

// Returns the agents of a pool that an entry connects to: at most `max_agents`, chosen by rendezvous hashing.
std::vector<pool_agent>
choose_subset(const pool_entry& pool, const std::string& entry_host, std::size_t max_agents)
{
    std::vector<pool_agent> chosen = pool.agents;
    if (chosen.size() <= max_agents) {
        return chosen;
    }
    const std::uint64_t seed = hash64(entry_host);
    std::ranges::sort(chosen, {}, [&](const pool_agent& agent) { return hash64(agent.host, seed); });
    chosen.resize(max_agents);
    return chosen;
}

} // namespace

agent_directory::agent_directory(event_loop& loop,
                                 const clock& time,
                                 random_source& random,
                                 const entry_settings& settings,
                                 std::uint64_t incarnation,
                                 catalogue& local_catalogue,
                                 crash_history& crash_records,
                                 grpc_agent_client& client)
    : loop(loop),
      time(time),
      random(random),
      settings(settings),
      incarnation(incarnation),
      local_catalogue(local_catalogue),
      crash_records(crash_records),
      client(client),
      monitor(time)
{
    for (const auto& address : this->settings.seed_agent_addresses) {
        this->open_connection(address);
    }
}

void agent_directory::open_connection(const std::string& address)
{
    if (this->connections_by_address.contains(address)) {
        return;
    }
    agent_connection::callbacks handlers{
        [this, address](const protocol::agent_message& message) { this->on_message(address, message); },
        [this, address] { this->on_connected(address); },
        [this, address] { this->on_disconnected(address); },
    };
    this->connections_by_address.emplace(
        address,
        std::make_unique<agent_connection>(
            this->loop, this->client, this->random, address, std::move(handlers)));
}

std::set<std::string> agent_directory::required_addresses() const
{
    std::set<std::string> required(this->settings.seed_agent_addresses.begin(),
                                   this->settings.seed_agent_addresses.end());
    for (const auto& pool : this->local_catalogue.pools()) {
        for (const auto& agent :
             choose_subset(*pool, this->settings.host, this->settings.max_agents_per_pool)) {
            required.insert(agent.address);
        }
    }
    return required;
}

void agent_directory::on_catalogue_change()
{
    const auto required = this->required_addresses();
    for (const auto& address : required) {
        this->open_connection(address);
    }
    for (auto connection = this->connections_by_address.begin();
         connection != this->connections_by_address.end();) {
        if (required.contains(connection->first)) {
            ++connection;
            continue;
        }
        this->on_disconnected(connection->first);
        this->hosts_by_address.erase(connection->first);
        this->client.remove_channel(connection->first);
        connection = this->connections_by_address.erase(connection);
    }
    this->broadcast(this->make_status_message());
}

void agent_directory::broadcast(const protocol::entry_message& message)
{
    for (const auto& [address, connection] : this->connections_by_address) {
        connection->send(message);
    }
}

void agent_directory::announce_claim_window(const std::string& shard, std::uint64_t window)
{
    auto& announced_window = this->claim_windows[shard];
    if (window > announced_window) {
        announced_window = window;
        this->broadcast(this->make_status_message());
    }
}

protocol::entry_message agent_directory::make_status_message() const
{
    protocol::entry_message message;
    message.set_entry_incarnation(this->incarnation);
    message.set_entry_host(this->settings.host);
    message.set_catalogue_revision(this->local_catalogue.revision());
    const std::chrono::milliseconds interval =
        report_interval_per_connection * this->connections_by_address.size();
    message.set_report_interval_milliseconds(static_cast<std::uint32_t>(interval.count()));
    for (const auto& [shard, window] : this->claim_windows) {
        auto* const row = message.add_claim_windows();
        row->set_shard(shard);
        row->set_window(window);
    }
    return message;
}

void agent_directory::on_connected(const std::string& address)
{
    auto message = this->make_status_message();
    append_crash_reports(this->crash_records, message);
    this->connections_by_address.at(address)->send(message);
}

void agent_directory::on_disconnected(const std::string& address)
{
    const auto host = this->hosts_by_address.find(address);
    if (host != this->hosts_by_address.end()) {
        this->monitor.record_broken_connection(host->second);
    }
}

void agent_directory::on_message(const std::string& address, const protocol::agent_message& message)
{
    const std::string& host = message.agent_host();
    this->hosts_by_address[address] = host;
    const std::chrono::milliseconds interval{message.report_interval_milliseconds()};
    const bool is_current = this->monitor.record_heartbeat(
        host, message.agent_incarnation(), message.leaving(), max_missed_reports * interval + report_grace);
    this->handle_crash_reports(address, message);
    if (!is_current) {
        return;
    }
    this->loads.apply_report(message);
    this->handle_catalogue_sync(address, message);
}

// Entries forward crash reports between agents. The sender always gets its reports back, as an
// acknowledgement: it does not report the failure of the request before that.
void agent_directory::handle_crash_reports(const std::string& address, const protocol::agent_message& message)
{
    if (message.crashes().empty()) {
        return;
    }
    const bool has_new_reports = record_crash_reports(message, this->crash_records);
    auto status = this->make_status_message();
    append_crash_reports(this->crash_records, status);
    if (has_new_reports) {
        this->broadcast(status);
        return;
    }
    const auto connection = this->connections_by_address.find(address);
    if (connection != this->connections_by_address.end()) {
        connection->second->send(status);
    }
}

void agent_directory::handle_catalogue_sync(const std::string& address,
                                            const protocol::agent_message& message)
{
    if (message.has_delta()) {
        const auto outcome = this->local_catalogue.apply(from_message(message.delta()));
        if (outcome == delta_outcome::applied) {
            write_event(log_event::catalogue_pulled,
                        {{"revision", std::to_string(this->local_catalogue.revision())},
                         {"source", message.agent_host()}});
        }
    }
    const auto connection = this->connections_by_address.find(address);
    if (connection == this->connections_by_address.end()) {
        return;
    }
    const bool is_behind = message.catalogue_revision() > this->local_catalogue.revision();
    const bool may_pull = is_behind && this->time.now() >= this->next_pull_at;
    if (!may_pull && !message.has_pull()) {
        return;
    }
    auto status = this->make_status_message();
    if (may_pull) {
        this->next_pull_at = this->time.now() + min_pull_interval;
        status.mutable_pull()->set_since(this->local_catalogue.revision());
    }
    if (message.has_pull()) {
        fill_message(this->local_catalogue.changes_since(message.pull().since()), *status.mutable_delta());
    }
    connection->second->send(status);
}

void agent_directory::on_host_list(const std::vector<listed_host>& hosts)
{
    std::set<std::string> leaving;
    for (const auto& row : hosts) {
        if (row.state == host_state::leaving) {
            leaving.insert(row.host);
        }
    }
    for (const auto& host : this->hosts_listed_as_leaving) {
        this->monitor.set_listed_as_leaving(host, leaving.contains(host));
    }
    for (const auto& host : leaving) {
        this->monitor.set_listed_as_leaving(host, true);
    }
    this->hosts_listed_as_leaving = std::move(leaving);
    for (const auto& [address, host] : this->hosts_by_address) {
        const auto connection = this->connections_by_address.find(address);
        if (connection == this->connections_by_address.end() ||
            !this->hosts_listed_as_leaving.contains(host)) {
            continue;
        }
        auto message = this->make_status_message();
        message.set_host_listed_leaving(true);
        connection->second->send(message);
    }
}

std::vector<agent_candidate> agent_directory::candidates(const pool_entry& pool,
                                                         const member_entry& member) const
{
    std::vector<agent_candidate> rows;
    rows.reserve(pool.agents.size());
    for (const auto& agent : pool.agents) {
        auto row = this->loads.make_candidate(pool, agent, member);
        row.is_same_data_centre = agent.data_centre == this->settings.data_centre;
        row.takes_work =
            row.takes_work && !agent.draining && this->monitor.state_of(agent.host) == peer_state::live;
        rows.push_back(std::move(row));
    }
    return rows;
}

agent_target agent_directory::target_of(const pool_entry& pool, const std::string& host) const
{
    const auto agent = std::ranges::find(pool.agents, host, &pool_agent::host);
    if (agent == pool.agents.end()) {
        return {};
    }
    return {host, agent->address, this->monitor.incarnation_of(host)};
}

void agent_directory::add_load(const std::string& host, const std::string& member, std::uint32_t pieces)
{
    this->loads.add_load(host, member, pieces);
}

void agent_directory::remove_load(const std::string& host, const std::string& member, std::uint32_t pieces)
{
    this->loads.remove_load(host, member, pieces);
}

std::uint64_t agent_directory::incarnation_of(const std::string& host) const
{
    return this->monitor.incarnation_of(host);
}

void agent_directory::log_state_changes()
{
    for (const auto& change : this->monitor.take_changes()) {
        const std::string before{name_of(change.before)};
        if (change.after == peer_state::live) {
            write_event(log_event::agent_connected, {{"host", change.peer}, {"before", before}});
        } else if (change.after == peer_state::suspected) {
            write_event(log_event::agent_suspected, {{"host", change.peer}, {"before", before}});
        } else if (change.after == peer_state::leaving) {
            write_event(log_event::agent_leaving, {{"host", change.peer}, {"before", before}});
        }
    }
}

std::size_t agent_directory::reporting_agent_count() const
{
    return this->loads.catalogue_host_count();
}

std::uint64_t agent_directory::max_reported_catalogue_revision() const
{
    return this->loads.max_catalogue_revision();
}

std::size_t agent_directory::available_agent_count() const
{
    return static_cast<std::size_t>(std::ranges::count_if(this->hosts_by_address, [this](const auto& row) {
        return this->loads.is_ready(row.second) && this->monitor.state_of(row.second) == peer_state::live;
    }));
}

std::size_t agent_directory::connection_count() const
{
    return this->connections_by_address.size();
}

} // namespace tanager
