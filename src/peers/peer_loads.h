// Sums up the load that the peers have reported.
#pragma once

#include "base/clock.h"
#include "peers/types/load_report.h"

#include <cstddef>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace tanager {

// A peer that became live or silent.
struct peer_change {
    std::string peer;
    bool is_live = false;

    friend bool operator==(const peer_change&, const peer_change&) = default;
};

// Load pattern: several gateways fill the same few servers within milliseconds of each other. Reports may be
// lost, duplicated or delayed: only the newest report of a peer's newest process counts. A silent peer counts
// with its last report until its timeout; then it is dropped, as the state of its requests is unknown.
class peer_loads {
public:
    // `peer_timeout` is the time without reports after which a peer no longer counts.
    peer_loads(const clock& time, duration peer_timeout);

    // Returns whether the report was newer than the last one of that peer, and so was taken.
    bool apply(const std::string& peer, const load_report& report);

    // Returns the sum over all peers; all zero for a server that no peer uses.
    server_load on_server(const std::string& server_id) const;

    // Returns the prompts of a service that all peers received in their last second.
    std::uint32_t prompts_per_second(const std::string& service) const;

    // Returns whether a peer has detected that prefill delays the streams of a service.
    bool should_isolate_long_outputs(const std::string& service) const;

    // Returns whether a peer is changing the role of this engine.
    bool is_changing_role(const std::string& server_id) const;

    std::vector<std::string> peer_names() const;

    // Returns the peers whose calls the store answers.
    std::vector<std::string> peers_with_store() const;

    // Returns the number of peers that have not timed out.
    std::size_t live_peer_count() const;

    // Returns how many peers could pass a prompt to their link within `max_wait`.
    std::size_t peers_with_link_room(duration max_wait) const;

    // Returns the longest time between two reports of any peer under load, as of the last `expire`.
    duration longest_report_interval() const;

    // Drops peers that have timed out; returns who became live or was dropped since the last call.
    std::vector<peer_change> expire();

private:
    struct peer_state {
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0;
        time_point received_at;
        std::vector<server_load> loads;
        std::vector<service_demand> demands;
        std::vector<std::uint32_t> role_change_servers;
        bool is_store_failing = false;
        std::chrono::milliseconds link_wait{0};
        std::chrono::milliseconds report_interval{0};
    };

    // The demand for one service at all peers.
    struct service_total {
        std::uint32_t prompts_per_second = 0;
        std::uint32_t isolating_peers = 0; // that isolate its long outputs

        friend bool operator==(const service_total&, const service_total&) = default;
    };

    void add_to_totals(const peer_state& state);
    void subtract_from_totals(const peer_state& state);

    const clock& time;
    duration peer_timeout;
    std::map<std::string, peer_state> peers;
    // The sums over all peers, by name_hash of the server or service. Placement reads them for every server
    // and request.
    std::unordered_map<std::uint32_t, server_load> totals;
    std::unordered_map<std::uint32_t, service_total> demand_totals;
    std::unordered_map<std::uint32_t, std::uint32_t> role_changing_peers;
    std::vector<peer_change> changes;
    duration longest_interval{0};
};

} // namespace tanager
