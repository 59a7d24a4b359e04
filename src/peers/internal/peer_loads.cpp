#include "peers/peer_loads.h"

#include "base/digest.h"

#include <algorithm>
#include <utility>

namespace tanager {

std::uint32_t name_hash(const std::string& name)
{
    return static_cast<std::uint32_t>(hash64(name));
}

peer_loads::peer_loads(const clock& time, duration silence_allowed)
    : time(time), silence_allowed(silence_allowed)
{
}

bool peer_loads::apply(const std::string& peer, const load_report& report)
{
    const auto [found, is_new] = this->peers.try_emplace(peer);
    auto& row = found->second;
    // A process that was started later has the higher incarnation.
    const bool is_newer = is_new || report.incarnation > row.incarnation ||
                          (report.incarnation == row.incarnation && report.sequence > row.sequence);
    if (!is_newer) {
        return false;
    }
    if (is_new) {
        this->notices.push_back({peer, true});
    }
    this->subtract(row);
    row.incarnation = report.incarnation;
    row.sequence = report.sequence;
    row.heard_at = this->time.now();
    row.loads = report.loads;
    row.demands = report.demands;
    row.changing = report.role_change_server;
    this->add(row);
    return true;
}

void peer_loads::add(const peer_row& row)
{
    for (const auto& load : row.loads) {
        auto& total = this->totals.try_emplace(load.server, server_load{load.server, 0, 0, 0}).first->second;
        total.running += load.running;
        total.pending_prefill_tokens += load.pending_prefill_tokens;
        total.long_outputs += load.long_outputs;
    }
}

void peer_loads::subtract(const peer_row& row)
{
    for (const auto& load : row.loads) {
        const auto found = this->totals.find(load.server);
        found->second.running -= load.running;
        found->second.pending_prefill_tokens -= load.pending_prefill_tokens;
        found->second.long_outputs -= load.long_outputs;
        if (found->second == server_load{load.server, 0, 0, 0}) {
            this->totals.erase(found);
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
    const auto key = name_hash(service);
    std::uint32_t total = 0;
    for (const auto& [name, row] : this->peers) {
        const auto found = std::ranges::find(row.demands, key, &service_demand::service);
        total += found == row.demands.end() ? 0 : found->prompts_per_second;
    }
    return total;
}

bool peer_loads::should_isolate_long_outputs(const std::string& service) const
{
    const auto key = name_hash(service);
    return std::ranges::any_of(this->peers, [key](const auto& row) {
        const auto found = std::ranges::find(row.second.demands, key, &service_demand::service);
        return found != row.second.demands.end() && found->isolates_long_outputs;
    });
}

bool peer_loads::is_changing_role(const std::string& server_id) const
{
    const auto key = name_hash(server_id);
    return std::ranges::any_of(this->peers, [key](const auto& row) { return row.second.changing == key; });
}

std::vector<std::string> peer_loads::peer_names() const
{
    std::vector<std::string> names;
    for (const auto& [name, row] : this->peers) {
        names.push_back(name);
    }
    return names;
}

std::size_t peer_loads::live_peer_count() const
{
    return this->peers.size();
}

std::vector<peer_notice> peer_loads::review()
{
    const auto oldest = this->time.now() - this->silence_allowed;
    for (auto row = this->peers.begin(); row != this->peers.end();) {
        if (row->second.heard_at >= oldest) {
            ++row;
            continue;
        }
        this->subtract(row->second);
        this->notices.push_back({row->first, false});
        row = this->peers.erase(row);
    }
    return std::exchange(this->notices, {});
}

} // namespace tanager
