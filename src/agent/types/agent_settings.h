#pragma once

#include "limits/admission_queue.h"
#include "settings/settings_reader.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace tanager {

// What one agent is told by its settings file.
struct agent_settings {
    std::string host;
    std::string data_centre;
    std::string listen;      // gRPC, ip:port
    std::string http_listen; // /metrics and /healthz, ip:port
    std::string backend;     // ip:port of the backend server
    std::uint32_t capacity_pieces = 0;
    queue_limits queue;
    std::chrono::milliseconds shortest_report_interval{200};
    std::uint32_t control_bytes_per_second = 0;

    friend bool operator==(const agent_settings&, const agent_settings&) = default;
};

agent_settings load_agent_settings(settings_reader& reader);

} // namespace tanager
