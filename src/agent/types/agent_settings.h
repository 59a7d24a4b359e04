#pragma once

#include "limits/admission_queue.h"
#include "settings/settings_reader.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace tanager {

// The settings file of one agent.
struct agent_settings {
    std::string host;
    std::string data_centre;
    std::string grpc_listen;     // address of the gRPC server, ip:port
    std::string http_listen;     // address of the HTTP server for /metrics and /healthz, ip:port
    std::string backend_address; // ip:port of the backend server
    std::uint32_t capacity_pieces = 0;
    queue_limits request_queue_limits;
    std::chrono::milliseconds min_report_interval{200};
    std::uint32_t max_control_bytes_per_second = 0;

    friend bool operator==(const agent_settings&, const agent_settings&) = default;
};

// Reads an agent's settings. `reader` collects the problems that it finds.
agent_settings load_agent_settings(settings_reader& reader);

} // namespace tanager
