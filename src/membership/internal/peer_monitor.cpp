#include "membership/peer_monitor.h"

#include <algorithm>

namespace tanager {

namespace {

constexpr std::size_t kept_superseded_incarnations = 8;

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
                                    duration silence_allowed)
{
    auto& record = this->peers[peer];
    const bool is_superseded = std::ranges::find(record.superseded, incarnation) != record.superseded.end();
    if (is_superseded) {
        return false;
    }
    if (record.incarnation != incarnation) {
        if (record.incarnation != 0) {
            record.superseded.push_back(record.incarnation);
        }
        if (record.superseded.size() > kept_superseded_incarnations) {
            record.superseded.erase(record.superseded.begin());
        }
        record.incarnation = incarnation;
        record.said_leaving = false;
    }
    record.said_leaving = record.said_leaving || is_leaving;
    record.is_broken = false;
    record.expected_by = this->time.now() + silence_allowed;
    return true;
}

void peer_monitor::record_broken_connection(const std::string& peer)
{
    this->peers[peer].is_broken = true;
}

void peer_monitor::set_listed_as_leaving(const std::string& peer, bool is_leaving)
{
    this->peers[peer].listed_leaving = is_leaving;
}

void peer_monitor::forget(const std::string& peer)
{
    this->peers.erase(peer);
}

peer_state peer_monitor::judge(const peer_record& record) const
{
    if (record.said_leaving || record.listed_leaving) {
        return peer_state::leaving;
    }
    if (record.incarnation == 0) {
        return peer_state::unknown;
    }
    const bool is_silent = this->time.now() > record.expected_by;
    return is_silent || record.is_broken ? peer_state::suspected : peer_state::live;
}

peer_state peer_monitor::state_of(const std::string& peer) const
{
    const auto found = this->peers.find(peer);
    return found == this->peers.end() ? peer_state::unknown : this->judge(found->second);
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
        const peer_state current = this->judge(record);
        if (current != record.reported) {
            changes.push_back({peer, record.reported, current});
            record.reported = current;
        }
    }
    return changes;
}

} // namespace tanager
