// The processes of a soak run: a store, backend servers behind one proxy each, and gateways that reach the
// store through one proxy each.
#pragma once

#include "soak/soak_record.h"
#include "soak/traffic_generator.h"
#include "tests/support/child_process.h"

#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace tanager::soak {

// A proxy and the process behind it.
struct proxied_process {
    std::string id;
    std::unique_ptr<testing::child_process> process;
    std::unique_ptr<testing::child_process> proxy;
    std::string process_address; // bypasses the proxy
    std::string proxy_control_address;
};

class soak_cluster {
public:
    soak_cluster(std::size_t gateways, std::size_t servers, soak_record& record);
    ~soak_cluster();
    soak_cluster(const soak_cluster&) = delete;
    soak_cluster& operator=(const soak_cluster&) = delete;
    soak_cluster(soak_cluster&&) = delete;
    soak_cluster& operator=(soak_cluster&&) = delete;

    // Gateways. A killed or stopped gateway is started again with the same settings.
    std::vector<gateway_endpoint> running_gateways() const;
    std::vector<std::string> hosts() const;
    testing::child_process& gateway(const std::string& host);
    std::string gateway_instance(const std::string& host) const;
    std::string store_proxy_control_address(const std::string& host) const; // of the proxy to the store
    void limit_store_link(const std::string& host, unsigned bytes_per_second);
    std::vector<std::string> log_lines(const std::string& text) const; // of all gateway processes so far
    int wait_for_gateway_exit(
        const std::string& host); // returns the exit code, or the negative number of a signal
    bool is_running(const std::string& host);
    void start_gateway(const std::string& host);

    // Backend servers. Ids are never reused.
    std::vector<std::string> servers() const;
    proxied_process& server(const std::string& id);
    std::string add_server();
    void set_server_draining(const std::string& id);
    void set_server_leaving(const std::string& id); // it states so in its answers; the store is not told
    void collect_execution_counts(const std::string& id);
    void kill_server(const std::string& id); // like a crash: does not deregister it
    void deregister_server(const std::string& id);

    // The store, as used by the platform's operators and servers.
    testing::child_process& store();
    std::string store_address() const;
    void add_route(unsigned number);
    void grow_configuration(unsigned routes); // adds so many that nobody requests
    void write_foreign_entry(const std::string& kind, const std::string& name); // of another writer
    void remove_foreign_entry(const std::string& kind, const std::string& name);

    testing::test_client& platform_client();

private:
    struct managed_gateway {
        std::unique_ptr<testing::child_process> process;
        std::unique_ptr<testing::child_process> proxy;
        std::string settings_path;
        std::string proxy_control_address;
        std::string address;
        unsigned start_count = 0;
        std::vector<std::unique_ptr<testing::child_process>> exited_processes; // kept for their logs
    };

    int write(const http_request& request);
    void write_object(const std::string& name, const std::function<void(nlohmann::json&)>& edit);

    soak_record& record;
    testing::test_client client;
    std::unique_ptr<testing::child_process> store_process;
    std::string store_http_address;
    std::map<std::string, managed_gateway> gateways;
    std::map<std::string, proxied_process> backends;
    unsigned last_server_number = 0;
};

} // namespace tanager::soak
