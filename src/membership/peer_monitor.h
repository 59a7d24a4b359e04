// Failure detector: tracks which peers take new work, from heartbeats, broken connections and reports that a
// peer is leaving.
#pragma once

#include "base/clock.h"
#include "membership/types/peer_state.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace tanager {

// A change of a peer's state, for logs and metrics.
struct peer_change {
    std::string peer;
    peer_state before = peer_state::unknown;
    peer_state after = peer_state::unknown;

    friend bool operator==(const peer_change&, const peer_change&) = default;
};

// Heartbeats carry the incarnation of the process. Those of a superseded incarnation are ignored, since the
// network may deliver them after heartbeats of its successor.
class peer_monitor {
public:
    explicit peer_monitor(const clock& time);

    // Records a heartbeat; the peer becomes suspected if no other arrives within `heartbeat_timeout`.
    // Returns false if the heartbeat is of a superseded incarnation and was ignored.
    bool record_heartbeat(const std::string& peer,
                          std::uint64_t incarnation,
                          bool is_leaving,
                          duration heartbeat_timeout);

    // Records that the connection to a peer broke; the peer is suspected until its next heartbeat.
    void record_broken_connection(const std::string& peer);

    // Sets whether the platform's host list or an operator marks the peer as leaving; `false` revokes `true`.
    void set_listed_as_leaving(const std::string& peer, bool is_leaving);

    // Removes all that is recorded about a peer.
    void forget(const std::string& peer);

    peer_state state_of(const std::string& peer) const;
    // Returns the newest incarnation of a peer; 0 before its first heartbeat.
    std::uint64_t incarnation_of(const std::string& peer) const;

    // Returns the state changes since the last call.
    std::vector<peer_change> take_changes();

private:
    struct peer_record {
        std::uint64_t incarnation = 0;
        time_point heartbeat_deadline;
        bool announced_leaving = false;
        bool listed_as_leaving = false;
        bool is_connection_broken = false;
        std::vector<std::uint64_t> superseded_incarnations;
        peer_state reported_state = peer_state::unknown;
    };

    peer_state compute_state(const peer_record& record) const;

    const clock& time;
    std::map<std::string, peer_record> peers;
};

} // namespace tanager
