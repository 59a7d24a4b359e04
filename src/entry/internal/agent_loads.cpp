#include "entry/internal/agent_loads.h"

#include <algorithm>

namespace tanager {

namespace {

std::uint32_t saturating_subtract(std::uint32_t minuend, std::uint32_t subtrahend)
{
    return minuend > subtrahend ? minuend - subtrahend : 0;
}

std::uint32_t find_or_zero(const std::unordered_map<std::string, std::uint32_t>& map, const std::string& key)
{
    const auto found = map.find(key);
    return found == map.end() ? 0 : found->second;
}

} // namespace

void agent_loads::apply_report(const protocol::agent_message& report)
{
    auto& load = this->loads[report.agent_host()];
    load = {};
    load.capacity_pieces = report.capacity_pieces();
    load.used_pieces = report.used_pieces();
    load.queued_requests = report.queued_requests();
    load.catalogue_revision = report.catalogue_revision();
    load.is_ready = report.ready();
    for (const auto& use : report.members()) {
        load.used_pieces_by_member[use.member()] = use.used_pieces();
    }
}

void agent_loads::add_load(const std::string& host, const std::string& member, std::uint32_t pieces)
{
    auto& load = this->loads[host];
    load.dispatched_pieces += pieces;
    load.dispatched_pieces_by_member[member] += pieces;
    ++load.dispatched_requests;
}

void agent_loads::remove_load(const std::string& host, const std::string& member, std::uint32_t pieces)
{
    auto& load = this->loads[host];
    auto& dispatched = load.dispatched_pieces_by_member[member];
    if (dispatched >= pieces) {
        dispatched -= pieces;
        load.dispatched_pieces = saturating_subtract(load.dispatched_pieces, pieces);
        load.dispatched_requests = saturating_subtract(load.dispatched_requests, 1);
        return;
    }
    auto& used = load.used_pieces_by_member[member];
    used = saturating_subtract(used, pieces);
    load.used_pieces = saturating_subtract(load.used_pieces, pieces);
}

agent_candidate
agent_loads::make_candidate(const pool_entry& pool, const pool_agent& agent, const member_entry& member) const
{
    agent_candidate row;
    row.host = agent.host;
    const auto found = this->loads.find(agent.host);
    if (found == this->loads.end()) {
        return row;
    }
    const auto& load = found->second;
    const std::uint32_t share =
        cap_share_of_slot(member.cap_in(pool.name), pool.share_slot_count, agent.share_slot);
    const std::uint32_t used_member_pieces = find_or_zero(load.used_pieces_by_member, member.name) +
                                             find_or_zero(load.dispatched_pieces_by_member, member.name);
    row.takes_work = load.is_ready;
    row.member_share = std::min(share, load.capacity_pieces);
    row.free_member_pieces = saturating_subtract(row.member_share, used_member_pieces);
    row.free_pieces = saturating_subtract(load.capacity_pieces, load.used_pieces + load.dispatched_pieces);
    // Requests dispatched to an agent without free capacity wait in its queue.
    row.queued_requests = load.queued_requests + (row.free_pieces == 0 ? load.dispatched_requests : 0);
    return row;
}

bool agent_loads::is_ready(const std::string& host) const
{
    const auto found = this->loads.find(host);
    return found != this->loads.end() && found->second.is_ready;
}

std::size_t agent_loads::catalogue_host_count() const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        this->loads, [](const auto& row) { return row.second.catalogue_revision > 0; }));
}

std::uint64_t agent_loads::max_catalogue_revision() const
{
    std::uint64_t max_revision = 0;
    for (const auto& [host, load] : this->loads) {
        max_revision = std::max(max_revision, load.catalogue_revision);
    }
    return max_revision;
}

} // namespace tanager
