// What the other gateways have running, from their reports.
#pragma once

#include "base/clock.h"
#include "peers/types/load_report.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace tanager {

// A change in who is heard.
struct peer_change {
    std::string peer;
    bool is_live = false;

    friend bool operator==(const peer_change&, const peer_change&) = default;
};

// Load pattern: several gateways fill the same few servers within milliseconds of each other. Reports may be
// lost, doubled or late: only the newest report of a peer's newest process counts. A peer that is silent
// counts with its last report until it is taken as gone, when nothing of its requests is known any more.
class peer_loads {
public:
    // `silence_allowed` is how long a peer may be unheard before it no longer counts.
    peer_loads(const clock& time, duration peer_timeout);

    // Returns whether the report is newer than what is known.
    bool apply(const std::string& peer, const load_report& report);

    // Returns the sum over all peers.
    server_load on_server(const std::string& server_id) const;

    // Returns the prompts of a service that came to all peers in their last second.
    std::uint32_t prompts_per_second(const std::string& service) const;

    // Returns whether a peer has seen prompts make the streams of a service pause for too long.
    bool should_isolate_long_outputs(const std::string& service) const;

    // Returns whether a peer is changing the role of this engine.
    bool is_changing_role(const std::string& server_id) const;

    std::vector<std::string> peer_names() const;

    // Returns the peers that were heard within the silence allowed.
    std::size_t live_peer_count() const;

    // Drops silent peers; returns who was newly heard or dropped since the last call.
    std::vector<peer_change> expire();

private:
    struct peer_state {
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0;
        time_point received_at;
        std::vector<server_load> loads;
        std::vector<service_demand> demands;
        std::uint32_t role_change_server = 0;
    };

    void add_to_totals(const peer_state& state);
    void subtract_from_totals(const peer_state& state);

    const clock& time;
    duration peer_timeout;
    std::map<std::string, peer_state> peers;
    std::map<std::uint32_t, server_load> totals;
    std::vector<peer_change> changes;
};

} // namespace tanager
