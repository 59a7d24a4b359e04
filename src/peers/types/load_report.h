// What one gateway tells the others.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace tanager {

// What a gateway has on one backend server, named by a hash of the server's id.
struct server_load {
    std::uint32_t server = 0;
    std::uint32_t running = 0;                // requests
    std::uint32_t pending_prefill_tokens = 0; // prompt tokens that the server has still to read
    std::uint32_t long_outputs = 0;           // of the requests, those with long outputs

    friend bool operator==(const server_load&, const server_load&) = default;
};

// What a gateway has seen of a service, which is named by a hash.
struct service_demand {
    std::uint32_t service = 0;
    std::uint32_t prompts_per_second = 0; // that came in its last second
    bool isolates_long_outputs = false;   // it has seen prompts make streams pause for too long

    friend bool operator==(const service_demand&, const service_demand&) = default;
};

// A gateway's whole load, so that a lost report is made good by the next one.
struct load_report {
    std::uint64_t incarnation = 0; // of the sending process
    std::uint64_t sequence = 0;    // rises with each report of that process
    std::vector<server_load> loads;
    std::vector<service_demand> demands;
    std::uint32_t role_change_server = 0; // the engine whose role this gateway is changing; 0 for none

    friend bool operator==(const load_report&, const load_report&) = default;
};

// Returns the short name of a server or a service in load reports.
std::uint32_t name_hash(const std::string& name);

} // namespace tanager
