// The processes of a soak: a store, backend servers behind proxies, and gateways whose way to the store leads
// through a proxy each.
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
    std::string direct;  // the process's own address
    std::string control; // of the proxy
};

class soak_site {
public:
    soak_site(std::size_t gateways, std::size_t servers, soak_record& record);
    ~soak_site();
    soak_site(const soak_site&) = delete;
    soak_site& operator=(const soak_site&) = delete;
    soak_site(soak_site&&) = delete;
    soak_site& operator=(soak_site&&) = delete;

    // Gateways. A kill or a stop is followed by a new start with the same settings.
    std::vector<reached_gateway> running_gateways() const;
    std::vector<std::string> hosts() const;
    testing::child_process& gateway(const std::string& host);
    std::string gateway_name(const std::string& host) const;
    std::string store_link(const std::string& host) const;             // control address of its proxy
    std::vector<std::string> log_lines(const std::string& text) const; // of all gateways so far
    int end_gateway(const std::string& host); // waits for the process; returns how it ended
    bool is_running(const std::string& host);
    void start_gateway(const std::string& host);

    // Backend servers; ids are never used again.
    std::vector<std::string> servers() const;
    proxied_process& server(const std::string& id);
    std::string add_server();
    void announce_leaving(const std::string& id);
    void collect_runs(const std::string& id);
    void kill_server(const std::string& id); // as a crash: its entry goes some time later
    void remove_entry(const std::string& id);

    // The store, as the platform's operators and servers use it.
    testing::child_process& store();
    std::string store_address() const;
    void add_route(unsigned number);

    testing::site_caller& platform();

private:
    struct gateway_row {
        std::unique_ptr<testing::child_process> process;
        std::unique_ptr<testing::child_process> proxy;
        std::string settings;
        std::string control;
        std::string address;
        unsigned starts = 0;
        std::vector<std::unique_ptr<testing::child_process>> ended; // kept for their logs
    };

    int write(const http_request& request);
    void write_object(const std::string& name, const std::function<void(nlohmann::json&)>& edit);

    soak_record& record;
    testing::site_caller caller;
    std::unique_ptr<testing::child_process> store_process;
    std::string store_http;
    std::map<std::string, gateway_row> gateways;
    std::map<std::string, proxied_process> backends;
    unsigned last_server = 0;
};

} // namespace tanager::soak
