#include "peers/peer_loads.h"

#include "base/digest.h"

#include <algorithm>
#include <utility>

namespace tanager {

std::uint32_t name_hash(const std::string& name)
{
    return static_cast<std::uint32_t>(hash64(name));
}

peer_loads::peer_loads(const clock& time, duration peer_timeout) : time(time), peer_timeout(peer_timeout) {}

bool peer_loads::apply(const std::string& peer, const load_report& report)
{
    const auto [found, is_new] = this->peers.try_emplace(peer);
    auto& state = found->second;
    // A process that started later has the higher incarnation.
    const bool is_newer = is_new || report.incarnation > state.incarnation ||
                          (report.incarnation == state.incarnation && report.sequence > state.sequence);
    if (!is_newer) {
        return false;
    }
    if (is_new) {
        this->changes.push_back({peer, true});
    }
    this->subtract_from_totals(state);
    state.incarnation = report.incarnation;
    state.sequence = report.sequence;
    state.received_at = this->time.now();
    state.loads = report.loads;
    state.demands = report.demands;
    state.role_change_servers = report.role_change_servers;
    state.is_store_failing = report.is_store_failing;
    state.link_wait = std::chrono::milliseconds{report.link_wait_milliseconds};
    state.report_interval = std::chrono::milliseconds{report.interval_milliseconds};
    this->add_to_totals(state);
    return true;
}

void peer_loads::add_to_totals(const peer_state& state)
{
    for (const auto& load : state.loads) {
        auto& total = this->totals.try_emplace(load.server, server_load{load.server, 0, 0, 0}).first->second;
        total.running += load.running;
        total.pending_prefill_tokens += load.pending_prefill_tokens;
        total.long_outputs += load.long_outputs;
    }
    for (const auto& demand : state.demands) {
        auto& total = this->demand_totals[demand.service];
        total.prompts_per_second += demand.prompts_per_second;
        total.isolating_peers += demand.isolates_long_outputs ? 1 : 0;
    }
    for (const auto server : state.role_change_servers) {
        ++this->role_changing_peers[server];
    }
}

void peer_loads::subtract_from_totals(const peer_state& state)
{
    for (const auto& load : state.loads) {
        const auto found = this->totals.find(load.server);
        if (found == this->totals.end()) {
            continue; // nothing of it is left after the same server's other entry
        }
        found->second.running -= load.running;
        found->second.pending_prefill_tokens -= load.pending_prefill_tokens;
        found->second.long_outputs -= load.long_outputs;
        if (found->second == server_load{load.server, 0, 0, 0}) {
            this->totals.erase(found);
        }
    }
    for (const auto& demand : state.demands) {
        const auto found = this->demand_totals.find(demand.service);
        if (found == this->demand_totals.end()) {
            continue;
        }
        found->second.prompts_per_second -= demand.prompts_per_second;
        found->second.isolating_peers -= demand.isolates_long_outputs ? 1 : 0;
        if (found->second == service_total{}) {
            this->demand_totals.erase(found);
        }
    }
    for (const auto server : state.role_change_servers) {
        const auto found = this->role_changing_peers.find(server);
        if (found != this->role_changing_peers.end() && --found->second == 0) {
            this->role_changing_peers.erase(found);
        }
    }
}

server_load peer_loads::on_server(const std::string& server_id) const
{
    const auto key = name_hash(server_id);
    const auto found = this->totals.find(key);
    return found == this->totals.end() ? server_load{key, 0, 0, 0} : found->second;
}

std::uint32_t peer_loads::prompts_per_second(const std::string& service) const
{
    const auto found = this->demand_totals.find(name_hash(service));
    return found == this->demand_totals.end() ? 0 : found->second.prompts_per_second;
}

bool peer_loads::should_isolate_long_outputs(const std::string& service) const
{
    const auto found = this->demand_totals.find(name_hash(service));
    return found != this->demand_totals.end() && found->second.isolating_peers > 0;
}

bool peer_loads::is_changing_role(const std::string& server_id) const
{
    return this->role_changing_peers.contains(name_hash(server_id));
}

std::vector<std::string> peer_loads::peer_names() const
{
    std::vector<std::string> names;
    for (const auto& [name, state] : this->peers) {
        names.push_back(name);
    }
    return names;
}

std::vector<std::string> peer_loads::peers_with_store() const
{
    std::vector<std::string> names;
    for (const auto& [name, state] : this->peers) {
        if (!state.is_store_failing) {
            names.push_back(name);
        }
    }
    return names;
}

std::size_t peer_loads::live_peer_count() const
{
    return this->peers.size();
}

std::size_t peer_loads::peers_with_link_room(duration max_wait) const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        this->peers, [&](const auto& entry) { return entry.second.link_wait <= max_wait; }));
}

duration peer_loads::longest_report_interval() const
{
    return this->longest_interval;
}

std::vector<peer_change> peer_loads::expire()
{
    const auto oldest_live = this->time.now() - this->peer_timeout;
    this->longest_interval = duration{0};
    for (auto entry = this->peers.begin(); entry != this->peers.end();) {
        if (entry->second.received_at >= oldest_live) {
            const auto interval = std::min<duration>(entry->second.report_interval, this->peer_timeout);
            this->longest_interval = std::max(this->longest_interval, interval);
            ++entry;
            continue;
        }
        this->subtract_from_totals(entry->second);
        this->changes.push_back({entry->first, false});
        entry = this->peers.erase(entry);
    }
    return std::exchange(this->changes, {});
}

} // namespace tanager
