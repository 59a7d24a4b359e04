// A small cluster of real processes on loopback.
#pragma once

#include "tests/support/child_process.h"
#include "tests/support/test_client.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace tanager::testing {

inline constexpr const char* midlands_key = "midlands-test-key";
inline constexpr const char* yesil_key = "yesil-test-key";

// Settings of an agent and its backend server.
struct agent_options {
    std::string host;
    std::string pool;
    std::vector<std::string> backend_arguments;
    std::uint32_t capacity_pieces = 64;
    bool is_behind_proxy = false; // entries connect to the agent through a fault-injecting proxy
};

// Its catalogue holds members `midlands` and `yesil`; pools `helper` (model) and `orders` (plain service);
// work `swatch` (idempotent, helper), `gel-order` (not idempotent, orders) and `stock` (idempotent, orders)
// of midlands, and `rulebook` (idempotent, helper) of yesil.
class test_cluster {
public:
    test_cluster();
    ~test_cluster();
    test_cluster(const test_cluster&) = delete;
    test_cluster& operator=(const test_cluster&) = delete;
    test_cluster(test_cluster&&) = delete;
    test_cluster& operator=(test_cluster&&) = delete;

    // Starts agents with a backend server each and writes the pools with them to the catalogue.
    void start_agents(const std::vector<agent_options>& all_options);

    // Starts an entry and waits until it is ready and counts every agent as taking work.
    void start_entry(const std::string& host, const std::string& http_settings = {});

    // Starts an entry and waits only for its address. `http_settings` are further lines of its section
    // [http].
    void start_entry_without_waiting(const std::string& host, const std::string& http_settings = {});

    // Sends an agent's process a signal, waits until it has exited and starts another one on the same ports.
    void restart_agent(const std::string& host, int signal_number);

    // Waits until /healthz of a process returns 200.
    void wait_until_ready(const std::string& address);

    // Creates or overwrites a catalogue object; returns its new version.
    std::uint64_t put_catalogue_object(const std::string& object_name, const std::string& json);

    // Replaces the platform's host list.
    void put_hosts(const std::string& json);

    child_process& agent(const std::string& host);
    child_process& backend(const std::string& host);
    child_process& entry(const std::string& host);

    std::string platform_address() const;
    std::string entry_address(const std::string& host);
    std::string agent_grpc_address(const std::string& host);
    std::string agent_admin_address(const std::string& host); // HTTP: /healthz and /metrics
    std::string backend_address(const std::string& host);
    std::string proxy_control_address(const std::string& host);

    // Writes both pools to the catalogue again, with `draining_host` marked as draining.
    void write_pools(const std::string& draining_host = {});

    // Returns how often a backend server ran `work`, named by its prompt or body.
    std::uint64_t execution_count(const std::string& host, const std::string& work);

    // Throws if the current process of any agent or entry has logged `invariant_violated`.
    void check_invariants();

    test_client caller;

private:
    struct running_agent {
        agent_options options;
        std::uint32_t share_slot = 0;
        std::unique_ptr<child_process> backend;
        std::unique_ptr<child_process> process;
        std::unique_ptr<child_process> proxy;
        std::string backend_address;
        std::string grpc_address;
        std::string admin_address;
        std::string advertised_address; // the agent's own address, or its proxy's
    };

    void
    start_agent_process(running_agent& started, const std::string& listen, const std::string& http_listen);
    std::string write_settings(const std::string& host, const std::string& text) const;
    void write_members();
    void write_work();

    std::string settings_directory;
    std::unique_ptr<child_process> platform;
    std::string platform_http_address;
    std::map<std::string, running_agent> agents;
    std::map<std::string, std::unique_ptr<child_process>> entries;
    std::map<std::string, std::string> entry_http_addresses;
};

} // namespace tanager::testing
