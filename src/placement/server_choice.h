// Chooses the backend server for one attempt.
#pragma once

#include "base/random_source.h"
#include "placement/types/placement_candidate.h"

#include <tl/expected.hpp>
#include <vector>

namespace tanager {

// Why no server was chosen.
enum class placement_miss {
    no_server, // none takes work for this request
    no_place   // those that take work are full
};

using placement_result = tl::expected<std::size_t, placement_miss>;

// Chooses a server of a plain service: the one with the smallest share of its slots in use, drawn by lot
// among equals. Load pattern: many short requests, each costing about the same, on a few servers of which
// some are slow.
placement_result choose_plain_server(const std::vector<placement_candidate>& candidates,
                                     random_source& random);

// Chooses an engine that reads the prompt and generates. Load pattern: bursts of long prompts that share most
// of their tokens with a few hundred others, between few prompts with long outputs. A prompt with a long
// shared part goes to its home by rendezvous hash, so that the part is read once, or to the next home while
// that one is full; the others go to the engine with most room.
placement_result choose_engine(const prompt_shape& prompt,
                               const std::vector<placement_candidate>& candidates,
                               random_source& random);

} // namespace tanager
