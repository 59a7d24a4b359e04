#pragma once

#include "net/http_server.h"
#include "settings/settings_reader.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace tanager {

// The settings file of an entry.
struct entry_settings {
    std::string host;
    std::string data_centre;
    std::string region;
    std::string listen_address;   // for callers and the admin endpoints, ip:port
    std::string platform_address; // of the platform's object API, ip:port
    std::chrono::milliseconds platform_timeout{3'000};
    std::chrono::milliseconds watch_poll_timeout{20'000};
    std::chrono::milliseconds host_list_interval{1'000};
    std::size_t watchers_per_data_centre = 3;
    std::vector<std::string> seed_agent_addresses; // ip:port
    http_server_limits http_limits;
    std::size_t max_open_requests = 4'000;
    std::size_t max_agents_per_pool = 24;
    std::uint32_t max_attempts = 3;
    double retry_budget_ratio = 0.1;
    double retry_reserve = 20;

    friend bool operator==(const entry_settings&, const entry_settings&) = default;
};

entry_settings load_entry_settings(settings_reader& reader);

} // namespace tanager
