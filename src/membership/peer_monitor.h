// Decides which peers take new work, from heartbeats, broken connections and reports of leaving.
#pragma once

#include "base/clock.h"
#include "membership/types/peer_state.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace tanager {

// A change of belief, for logs and metrics.
struct peer_change {
    std::string peer;
    peer_state before = peer_state::unknown;
    peer_state after = peer_state::unknown;

    friend bool operator==(const peer_change&, const peer_change&) = default;
};

// Heartbeats carry the incarnation of the process. One from an incarnation that has been superseded is
// ignored, whatever order the network delivers them in.
class peer_monitor {
public:
    explicit peer_monitor(const clock& time);

    // Records a sign of life; silence for longer than `silence_allowed` from now on is suspicious.
    // Returns whether it was from the newest incarnation.
    bool record_heartbeat(const std::string& peer,
                          std::uint64_t incarnation,
                          bool is_leaving,
                          duration heartbeat_timeout);

    // Records that the connection to a peer broke; a heartbeat lifts the suspicion.
    void record_broken_connection(const std::string& peer);

    // Records the platform's or an operator's word; `false` takes an earlier `true` back.
    void set_listed_as_leaving(const std::string& peer, bool is_leaving);

    void forget(const std::string& peer);

    peer_state state_of(const std::string& peer) const;
    std::uint64_t incarnation_of(const std::string& peer) const;

    // Returns the changes since the last call.
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
