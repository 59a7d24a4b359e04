// What a placement decision is made from.
#pragma once

#include "fleet/types/backend_server.h"

#include <cstdint>
#include <memory>
#include <optional>

namespace tanager {

// What a model request asks of an engine; all zero for a plain request.
struct prompt_shape {
    std::uint64_t prefix_key = 0; // equal for requests whose shared prompt parts are the same
    std::uint32_t prefix_tokens = 0;
    std::uint32_t suffix_tokens = 0;
    std::uint32_t max_output_tokens = 0; // at most

    // Returns whether most of the work is in generating, so that the request holds its place for seconds.
    bool has_long_output() const
    {
        return this->max_output_tokens > this->prefix_tokens + this->suffix_tokens;
    }

    friend bool operator==(const prompt_shape&, const prompt_shape&) = default;
};

// A server as this process believes it to be at the moment of the decision.
struct placement_candidate {
    std::shared_ptr<const backend_server> server;
    std::uint32_t local_running = 0;          // requests of this process
    std::uint32_t peer_running = 0;           // requests of the other gateways, as they last said
    std::uint64_t pending_prefill_tokens = 0; // prompt tokens that it has still to read, of all gateways
    std::uint32_t long_outputs = 0;           // of the running requests, those with long outputs
    bool isolate_long_outputs = false;    // reading prompts makes the streams beside it pause for too long
    bool is_slow = false;                 // its streams pause long, whatever it reads
    double base_latency_milliseconds = 0; // to the first answer, whatever the prompt's length
    double prefill_milliseconds_per_token = 0; // to read one prompt token
    bool has_prefix_cached = false;            // is known to hold the prompt's shared part
    bool is_excluded = false;                  // passed over after failures
    bool is_probing = false;                   // was put aside and has not answered since
    bool is_same_data_centre = false;          // is in the data centre of this process
    bool was_tried = false;                    // has had this request already
};

// Where a request goes.
struct placement {
    std::size_t server = 0; // index of the candidate that generates, or answers a plain request
    std::optional<std::size_t> prefill_engine; // index of the candidate that reads the prompt for it
    std::uint32_t prefill_tokens = 0;          // what the reader, or else the server, has to read for it

    friend bool operator==(const placement&, const placement&) = default;
};

} // namespace tanager
