// The load that one gateway reports to its peers.
#pragma once

#include "relay/types/feed_types.h"

#include <chrono>
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

// A prompt prefix that a gateway has sent to an engine.
struct sent_prefix {
    std::uint32_t server = 0; // name_hash of the server's id
    std::uint32_t prefix = 0; // lower half of the prefix's hash

    friend bool operator==(const sent_prefix&, const sent_prefix&) = default;
};

// Events of streams that a server has sent to a gateway since the report before that had some.
struct server_event_times {
    std::uint32_t server = 0; // name_hash of the server's id
    std::uint32_t events = 0;
    std::chrono::milliseconds total{0}; // time for all of them
    std::uint32_t running = 0;          // requests on the server meanwhile, of all gateways
    std::chrono::milliseconds age{0};   // of the events, on average

    friend bool operator==(const server_event_times&, const server_event_times&) = default;
};

// The whole load of a gateway, so that each report makes up for lost ones.
struct load_report {
    std::uint64_t incarnation = 0; // of the sending process
    std::uint64_t sequence = 0;    // rises with each report of that process
    std::vector<server_load> loads;
    std::vector<service_demand> demands;
    std::vector<std::uint32_t> role_change_servers; // name_hash of each engine whose role the gateway changes
    std::vector<sent_prefix> new_prefixes; // sent within the last few reports, and not known there before
    std::vector<feed_confirmation> confirmations; // of the feeds for which this gateway calls the store
    bool is_store_failing = false;                // the store did not answer its last calls
    std::uint32_t link_wait_milliseconds = 0;     // until a prompt that arrives now would have left its host
    std::uint32_t interval_milliseconds = 0;      // between two reports under load
    std::vector<server_event_times> event_times;  // in few of the reports; a lost one is not made up for

    friend bool operator==(const load_report&, const load_report&) = default;
};

// Returns the hash that stands for a server id or a service name in load reports.
std::uint32_t name_hash(const std::string& name);

} // namespace tanager
