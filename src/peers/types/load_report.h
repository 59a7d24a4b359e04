// The load that one gateway reports to its peers.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace tanager {

// The requests of one gateway on one backend server.
struct server_load {
    std::uint32_t server = 0;                 // name_hash of the server's id
    std::uint32_t running = 0;                // requests
    std::uint32_t pending_prefill_tokens = 0; // prompt tokens that the server has still to prefill
    std::uint32_t long_outputs = 0;           // of the running requests, those with long outputs

    friend bool operator==(const server_load&, const server_load&) = default;
};

// The demand for one service that a gateway has received.
struct service_demand {
    std::uint32_t service = 0;            // name_hash of the service's name
    std::uint32_t prompts_per_second = 0; // received in the last second
    bool isolates_long_outputs = false;   // the gateway has detected prefill interference

    friend bool operator==(const service_demand&, const service_demand&) = default;
};

// The whole load of a gateway, so that each report makes up for lost ones.
struct load_report {
    std::uint64_t incarnation = 0; // of the sending process
    std::uint64_t sequence = 0;    // rises with each report of that process
    std::vector<server_load> loads;
    std::vector<service_demand> demands;
    std::uint32_t role_change_server =
        0; // name_hash of the engine whose role the gateway changes; 0 for none

    friend bool operator==(const load_report&, const load_report&) = default;
};

// Returns the hash that stands for a server id or a service name in load reports.
std::uint32_t name_hash(const std::string& name);

} // namespace tanager
