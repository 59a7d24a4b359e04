// Input and result types of the placement decision.
#pragma once

#include "fleet/types/backend_server.h"
#include "fleet/types/server_speed.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>

namespace tanager {

// Size and prefix of a model request's prompt; all zero for a plain request.
struct prompt_shape {
    std::uint64_t prefix_key = 0; // equal for requests that share a prefix
    std::uint32_t prefix_tokens = 0;
    std::uint32_t suffix_tokens = 0;
    std::uint32_t max_output_tokens = 0; // upper bound

    // Returns whether the request may decode more tokens than it prefills, so that it holds its slot for
    // seconds.
    bool has_long_output() const
    {
        return this->max_output_tokens > this->prefix_tokens + this->suffix_tokens;
    }

    friend bool operator==(const prompt_shape&, const prompt_shape&) = default;
};

// How fast a request has to be served.
struct prompt_objectives {
    std::chrono::milliseconds time_left{0};     // until the first event is due
    std::chrono::milliseconds gap_objective{0}; // between two events of a stream; 0 if there is none

    friend bool operator==(const prompt_objectives&, const prompt_objectives&) = default;
};

// The state of a server as this gateway sees it at the moment of the decision.
struct placement_candidate {
    std::shared_ptr<const backend_server> server;
    std::uint32_t local_running = 0;             // requests of this gateway
    std::uint32_t peer_running = 0;              // requests of the peers, as last reported
    std::uint64_t pending_prefill_tokens = 0;    // prompt tokens still to prefill, of all gateways
    std::uint32_t long_outputs = 0;              // running requests with long outputs
    bool isolate_long_outputs = false;           // prefill interference makes the event gaps too long
    bool is_slow = false;                        // its event gaps are long even without prefill interference
    decode_speed speed = decode_speed::suitable; // of its events, for long outputs
    double base_latency_milliseconds = 0;        // time to first token, independent of the prompt length
    double prefill_milliseconds_per_token = 0;   // added to the time to first token
    bool has_prefix_cached = false;              // the prompt's prefix is in its KV cache
    bool is_excluded = false;                    // gets no new requests for now, because of failures
    bool is_probing = false;                     // ejected, and no request has succeeded since
    bool is_same_data_centre = false;            // as this gateway
    bool was_tried = false;                      // an earlier attempt of this request went to it
};

// The servers that are chosen for one attempt.
struct placement {
    std::size_t server = 0; // index of the decode engine, or of the server for a plain request
    std::optional<std::size_t> prefill_engine; // index, if another engine prefills the prompt
    std::uint32_t prefill_tokens = 0; // to compute on the prefill engine, or on the server if there is none
    std::optional<std::size_t> prefix_source; // index, if that engine fetches the prefix from another one

    friend bool operator==(const placement&, const placement&) = default;
};

} // namespace tanager
