#include "membership/peer_monitor.h"

#include <algorithm>

namespace tanager {

namespace {

constexpr std::size_t max_superseded_incarnations = 8;

} // namespace

std::string_view name_of(peer_state state)
{
    switch (state) {
    case peer_state::unknown:
        return "unknown";
    case peer_state::live:
        return "live";
    case peer_state::suspected:
        return "suspected";
    case peer_state::leaving:
        return "leaving";
    }
    return "unlisted";
}

peer_monitor::peer_monitor(const clock& time) : time(time) {}

bool peer_monitor::record_heartbeat(const std::string& peer,
                                    std::uint64_t incarnation,
                                    bool is_leaving,
                                    duration heartbeat_timeout)
{
    auto& record = this->peers[peer];
    const bool is_superseded = std::ranges::find(record.superseded_incarnations, incarnation) !=
                               record.superseded_incarnations.end();
    if (is_superseded) {
        return false;
    }
    if (record.incarnation != incarnation) {
        if (record.incarnation != 0) {
            record.superseded_incarnations.push_back(record.incarnation);
        }
        if (record.superseded_incarnations.size() > max_superseded_incarnations) {
            record.superseded_incarnations.erase(record.superseded_incarnations.begin());
        }
        record.incarnation = incarnation;
        record.announced_leaving = false;
    }
    record.announced_leaving = record.announced_leaving || is_leaving;
    record.is_connection_broken = false;
    record.heartbeat_deadline = this->time.now() + heartbeat_timeout;
    return true;
}

void peer_monitor::record_broken_connection(const std::string& peer)
{
    this->peers[peer].is_connection_broken = true;
}

void peer_monitor::set_listed_as_leaving(const std::string& peer, bool is_leaving)
{
    this->peers[peer].listed_as_leaving = is_leaving;
}

void peer_monitor::forget(const std::string& peer)
{
    this->peers.erase(peer);
}

peer_state peer_monitor::compute_state(const peer_record& record) const
{
    if (record.announced_leaving || record.listed_as_leaving) {
        return peer_state::leaving;
    }
    if (record.incarnation == 0) {
        return peer_state::unknown;
    }
    const bool is_overdue = this->time.now() > record.heartbeat_deadline;
    return is_overdue || record.is_connection_broken ? peer_state::suspected : peer_state::live;
}

peer_state peer_monitor::state_of(const std::string& peer) const
{
    const auto found = this->peers.find(peer);
    return found == this->peers.end() ? peer_state::unknown : this->compute_state(found->second);
}

std::uint64_t peer_monitor::incarnation_of(const std::string& peer) const
{
    const auto found = this->peers.find(peer);
    return found == this->peers.end() ? 0 : found->second.incarnation;
}

std::vector<peer_change> peer_monitor::take_changes()
{
    std::vector<peer_change> changes;
    for (auto& [peer, record] : this->peers) {
        const peer_state current = this->compute_state(record);
        if (current != record.reported_state) {
            changes.push_back({peer, record.reported_state, current});
            record.reported_state = current;
        }
    }
    return changes;
}

} // namespace tanager
