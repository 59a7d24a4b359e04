#pragma once

#include "duties/types/usage_types.h"
#include "hedging/types/hedging_policy.h"
#include "limits/fleet_retry_share.h"
#include "net/http_server.h"
#include "organisations/caller_gate.h"
#include "settings/settings_reader.h"

#include <chrono>
#include <string>
#include <vector>

namespace tanager {

// The settings file of one gateway.
struct gateway_settings {
    std::string host;
    std::string data_centre = "default";
    std::string region = "default";
    std::string listen_address;          // for callers, ip:port
    std::string admin_address;           // for readiness and metrics, ip:port
    std::string peer_address;            // for load reports between gateways, ip:port
    std::string store_address;           // of the platform's store, ip:port
    double link_megabits_per_second = 0; // of this host's link; 0 if the link is never the bottleneck
    http_server_limits http_limits;
    std::chrono::milliseconds stop_grace{8'000}; // from SIGTERM to SIGKILL
    std::chrono::milliseconds store_recovery_grace{
        2'000}; // for server entries to reappear after the store recovers
    std::size_t max_open_requests = 2'000;
    std::size_t memory_megabytes = 256; // that the process may use
    fleet_retry_bound retry_bound;
    caller_gate_settings callers;
    std::chrono::milliseconds role_order_lease{3'000}; // minimum time between role orders of two gateways
    hedging_policy hedging;                            // second attempts at slow requests; off unless set
    double min_role_gain_ratio = 0.15; // minimum gain of a role change, relative to the service's capacity
    std::vector<std::string> duties;   // that the platform asks for, by its names
    std::string duty_address;          // of the platform's calls for duties, ip:port; empty without duties
    double duty_calls_per_second = 1;
    usage_windows usage;

    friend bool operator==(const gateway_settings&, const gateway_settings&) = default;
};

// Invalid and missing values are reported through `reader.problems()`.
gateway_settings load_gateway_settings(settings_reader& reader);

} // namespace tanager
