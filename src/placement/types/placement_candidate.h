// What a placement decision is made from.
#pragma once

#include "fleet/types/backend_server.h"

#include <cstdint>
#include <memory>

namespace tanager {

// What a model request asks of an engine; all zero for a plain request.
struct prompt_shape {
    std::uint64_t shared_key = 0; // equal for requests whose shared prompt parts are the same
    std::uint32_t shared_tokens = 0;
    std::uint32_t own_tokens = 0;
    std::uint32_t output_tokens = 0; // at most

    friend bool operator==(const prompt_shape&, const prompt_shape&) = default;
};

// A server as this process believes it to be at the moment of the decision.
struct placement_candidate {
    std::shared_ptr<const backend_server> server;
    std::uint32_t running_here = 0;      // requests of this process
    std::uint32_t running_elsewhere = 0; // requests of the other entries, as they last said
    bool is_aside = false;               // passed over after failures
    bool is_on_trial = false;            // was put aside and has not answered since
    bool was_tried = false;              // has had this request already
};

} // namespace tanager
