#pragma once

#include "base/clock.h"
#include "base/random_source.h"
#include "catalogue/catalogue.h"
#include "entry/agent_candidate_source.h"
#include "entry/internal/agent_connection.h"
#include "entry/internal/agent_loads.h"
#include "entry/internal/grpc_agent_client.h"
#include "entry/types/entry_settings.h"
#include "membership/peer_monitor.h"
#include "quarantine/crash_history.h"
#include "store/types/stored_object.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace tanager {

// Connections to the agents that this entry uses (a bounded subset of each pool, chosen by rendezvous
// hashing) and their last reported load and state.
class agent_directory final : public agent_candidate_source {
public:
    agent_directory(event_loop& loop,
                    const clock& time,
                    random_source& random,
                    const entry_settings& settings,
                    std::uint64_t incarnation,
                    catalogue& local_catalogue,
                    crash_history& crash_records,
                    grpc_agent_client& client);

    // Opens and closes connections to match the catalogue, and sends its revision to all agents.
    void on_catalogue_change();

    // Sends the latest claim window of a shard to all agents, so that they refuse attempts claimed in a
    // closed window.
    void announce_claim_window(const std::string& shard, std::uint64_t window);

    // Applies the platform's host list: marks the hosts that it lists as leaving and informs
    // their agents.
    void on_host_list(const std::vector<listed_host>& hosts);

    std::vector<agent_candidate> candidates(const pool_entry& pool,
                                            const member_entry& member) const override;
    agent_target target_of(const pool_entry& pool, const std::string& host) const override;
    void add_load(const std::string& host, const std::string& member, std::uint32_t pieces) override;
    void remove_load(const std::string& host, const std::string& member, std::uint32_t pieces) override;
    std::uint64_t incarnation_of(const std::string& host) const override;

    // Logs the changes of agent state since the last call.
    void log_state_changes();

    // Return the number of agents that have reported a catalogue, and the highest revision that they
    // reported.
    std::size_t reporting_agent_count() const;
    std::uint64_t max_reported_catalogue_revision() const;

    std::size_t connection_count() const;

    // Returns the number of agents that are live and reported themselves ready.
    std::size_t available_agent_count() const;

private:
    void open_connection(const std::string& address);
    void on_message(const std::string& address, const protocol::agent_message& message);
    void on_connected(const std::string& address);
    void on_disconnected(const std::string& address);
    void handle_crash_reports(const std::string& address, const protocol::agent_message& message);
    void handle_catalogue_sync(const std::string& address, const protocol::agent_message& message);
    protocol::entry_message make_status_message() const;
    void broadcast(const protocol::entry_message& message);
    std::set<std::string> required_addresses() const;

    event_loop& loop;
    const clock& time;
    random_source& random;
    entry_settings settings;
    std::uint64_t incarnation;
    catalogue& local_catalogue;
    crash_history& crash_records;
    grpc_agent_client& client;
    peer_monitor monitor;
    std::map<std::string, std::unique_ptr<agent_connection>> connections_by_address;
    std::map<std::string, std::string> hosts_by_address;
    agent_loads loads;
    std::set<std::string> hosts_listed_as_leaving;
    std::map<std::string, std::uint64_t> claim_windows;
    time_point next_pull_at;
};

} // namespace tanager
