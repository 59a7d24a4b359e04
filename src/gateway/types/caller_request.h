// The request fields that the gateway uses for routing and scheduling.
#pragma once

#include "net/types/http_types.h"
#include "placement/types/placement_candidate.h"
#include "quarantine/types/request_traits.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace tanager {

// The decoded fields of a caller's request. The bytes that are forwarded stay in the http_exchange.
struct caller_request {
    std::string id;   // chosen by the caller, which uses a new one for each of its attempts
    std::string host; // as in the caller's request
    std::string path; // with the query string
    std::optional<std::chrono::milliseconds> caller_timeout; // for the whole response
    std::optional<std::uint64_t> last_event_id;              // the last event that the caller has received
    request_traits traits;
    prompt_shape prompt;

    friend bool operator==(const caller_request&, const caller_request&) = default;
};

// A prefilled KV cache that a server keeps until a decode engine fetches it.
struct kv_cache_handle {
    socket_address server_address;
    std::string name;

    friend bool operator==(const kv_cache_handle&, const kv_cache_handle&) = default;
};

// What the gateway adds to a request for one attempt.
struct attempt_options {
    std::string server_id; // every other server must refuse the attempt
    std::chrono::milliseconds time_left{0};
    std::optional<std::uint64_t> last_event_id;
    std::optional<std::uint32_t> engine_priority; // 0 is admitted first; model engines only
    bool prefill_only = false;               // the server only prefills the prompt and keeps the KV cache
    std::optional<kv_cache_handle> kv_cache; // the KV cache to decode from
    // The name of the caller's organisation, or empty, to be sent instead of the caller's key and of its own
    // claim. Absent where the configuration has no organisations.
    std::optional<std::string> organisation;
    std::optional<socket_address> prefix_source; // server to fetch the KV cache of the prompt's prefix from

    friend bool operator==(const attempt_options&, const attempt_options&) = default;
};

} // namespace tanager
