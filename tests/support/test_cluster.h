// A small site of real processes on loopback.
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

// How an agent and its backend server are started.
struct agent_options {
    std::string host;
    std::string pool;
    std::vector<std::string> backend_arguments;
    std::uint32_t capacity_pieces = 64;
    bool is_behind_proxy = false; // entries reach the agent through a fault-injecting proxy
};

// Members `midlands` and `yesil`; pools `helper` (model) and `orders` (plain service); work `swatch`
// (idempotent, helper), `gel-order` (not idempotent, orders) and `stock` (idempotent, orders) of midlands,
// and `rulebook` (idempotent, helper) of yesil.
class test_cluster {
public:
    test_cluster();
    ~test_cluster();
    test_cluster(const test_cluster&) = delete;
    test_cluster& operator=(const test_cluster&) = delete;
    test_cluster(test_cluster&&) = delete;
    test_cluster& operator=(test_cluster&&) = delete;

    // Starts backend servers and agents, and writes the catalogue for them.
    void start_agents(const std::vector<agent_options>& all_options);

    // Starts an entry and waits until it has heard of every agent.
    void start_entry(const std::string& host, const std::string& http_settings = {});

    // Starts an entry without waiting for anything; `http_settings` are further lines of its section [http].
    void start_entry_without_waiting(const std::string& host, const std::string& http_settings = {});

    // Ends an agent's process by a signal and starts another one on the same port.
    void restart_agent(const std::string& host, int signal_number);

    // Waits until a page of a process answers 200.
    void wait_until_ready(const std::string& address);

    // Writes a catalogue entry over whatever stands; returns its version.
    std::uint64_t put_catalogue_object(const std::string& object_name, const std::string& json);

    // Writes the platform's host list.
    void put_hosts(const std::string& json);

    child_process& agent(const std::string& host);
    child_process& backend(const std::string& host);
    child_process& entry(const std::string& host);

    std::string platform_address() const;
    std::string entry_address(const std::string& host);
    std::string agent_grpc_address(const std::string& host);  // gRPC
    std::string agent_admin_address(const std::string& host); // HTTP
    std::string backend_address(const std::string& host);
    std::string proxy_control_address(const std::string& host);

    // Writes the two pools anew, for instance with a draining host.
    void write_pools(const std::string& draining_host = {});

    // Returns how often a backend server ran a piece of work.
    std::uint64_t execution_count(const std::string& host, const std::string& work);

    // Throws when any process has logged a broken invariant.
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
