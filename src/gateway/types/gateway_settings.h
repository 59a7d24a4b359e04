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
    std::string listen;       // callers, ip:port
    std::string pages;        // readiness and metrics, ip:port
    std::string peers;        // load messages between gateways, ip:port
    std::string store;        // the platform's store, ip:port
    double link_megabits = 0; // of this host, a second; 0 when it is never the bottleneck
    http_server_limits http;
    std::chrono::milliseconds stop_grace{8'000};   // from SIGTERM until the process is killed
    std::chrono::milliseconds return_grace{2'000}; // for server entries after the store has returned
    std::size_t open_requests = 2'000;
    double retry_share = 0.2;
    std::chrono::milliseconds order_lease{3'000}; // no order follows one of another gateway within this time
    double least_role_gain = 0.15; // of what a service can serve, for an engine to change its role

    friend bool operator==(const gateway_settings&, const gateway_settings&) = default;
};

gateway_settings load_gateway_settings(settings_reader& reader);

} // namespace tanager
