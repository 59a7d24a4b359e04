// A caller's request as the gateway's decisions see it.
#pragma once

#include "net/types/http_types.h"
#include "placement/types/placement_candidate.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace tanager {

// What the codec reads from a request; the bytes that are passed on stay with the exchange.
struct caller_request {
    std::string id;   // the caller's own, different in each of its attempts
    std::string host; // as the caller named it
    std::string path; // with the query
    std::optional<std::chrono::milliseconds> caller_timeout; // how long the caller waits for the whole answer
    std::optional<std::uint64_t> last_event_id;              // the last event that the caller has
    prompt_shape prompt;

    friend bool operator==(const caller_request&, const caller_request&) = default;
};

// A KV cache that a server keeps for whoever takes it.
struct kv_cache_handle {
    socket_address server_address;
    std::string name;

    friend bool operator==(const kv_cache_handle&, const kv_cache_handle&) = default;
};

// What the system adds to a request for one attempt.
struct attempt_options {
    std::string server_id; // any other server must refuse the attempt
    std::chrono::milliseconds time_left{0};
    std::optional<std::uint64_t> last_event_id;
    std::optional<std::uint32_t> engine_priority; // 0 is admitted first; model engines only
    bool prefill_only = false;                    // the server reads the prompt and keeps its KV cache
    std::optional<kv_cache_handle> kv_cache;      // the KV cache to go on from

    friend bool operator==(const attempt_options&, const attempt_options&) = default;
};

// What the head of a server's answer says.
struct response_info {
    int status = 0;
    bool matches_request = false; // names this very request
    bool has_digest = false;      // carries the server's digest
    bool not_executed = false;    // the server states that it did not run the request
    bool is_misdirected = false;  // the address belongs to another server by now

    friend bool operator==(const response_info&, const response_info&) = default;
};

} // namespace tanager
