// The request fields that the gateway uses for routing and scheduling.
#pragma once

#include "net/types/http_types.h"
#include "placement/types/placement_candidate.h"
#include "quarantine/types/request_traits.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

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
    bool prefill_only = false;                   // the server only prefills the prompt and keeps the KV cache
    std::optional<kv_cache_handle> kv_cache;     // the KV cache to decode from
    std::optional<socket_address> prefix_source; // server to fetch the KV cache of the prompt's prefix from

    friend bool operator==(const attempt_options&, const attempt_options&) = default;
};

// Which request's id a response carries.
enum class response_id { own, another, none };

std::string_view name_of(response_id id);

// The facts decoded from the head of a server's response.
struct response_info {
    int status = 0;
    response_id id = response_id::none;
    bool matches_request = false; // carries the id of this request
    bool has_digest = false;      // carries a digest set by the server
    bool not_executed = false;    // the server states that it did not execute the request
    bool is_misdirected = false;  // another server now uses the address

    // Returns whether this is the response to the request. A server that refuses need not repeat the id.
    bool answers_request() const
    {
        return this->matches_request || this->not_executed;
    }

    friend bool operator==(const response_info&, const response_info&) = default;
};

} // namespace tanager
