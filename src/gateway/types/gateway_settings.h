#pragma once

#include "net/http_server.h"
#include "settings/settings_reader.h"

#include <chrono>
#include <string>
#include <vector>

namespace tanager {

// What one gateway is told by its settings file.
struct gateway_settings {
    std::string host;
    std::string data_centre;
    std::string region;
    std::string listen_address;          // callers, ip:port
    std::string admin_address;           // readiness and metrics, ip:port
    std::string peer_address;            // load messages between gateways, ip:port
    std::string store_address;           // the platform's store, ip:port
    double link_megabits_per_second = 0; // of this host, a second; 0 when it is never the bottleneck
    http_server_limits http_limits;
    std::chrono::milliseconds stop_grace{8'000};           // from SIGTERM until the process is killed
    std::chrono::milliseconds store_recovery_grace{2'000}; // for server entries after the store has returned
    std::size_t max_open_requests = 2'000;
    double retry_budget_ratio = 0.2;
    std::chrono::milliseconds role_order_lease{
        3'000};                        // no order follows one of another gateway within this time
    double min_role_gain_ratio = 0.15; // of what a service can serve, for an engine to change its role

    friend bool operator==(const gateway_settings&, const gateway_settings&) = default;
};

gateway_settings load_gateway_settings(settings_reader& reader);

} // namespace tanager
