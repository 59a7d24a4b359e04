// Splits the generating engines where long outputs are to be gathered.
#pragma once

#include "placement/types/placement_candidate.h"

#include <vector>

namespace tanager {

// Indexes of candidates.
struct engine_split {
    std::vector<std::size_t> isolated; // for long outputs; they read no prompts
    std::vector<std::size_t> others;
};

// Load pattern: long outputs last for seconds, and each prompt read beside one makes it pause. Spread over
// all engines, they leave none that may read; so they are gathered on as few as hold them, with room for
// those of a lost engine. The fullest ones stay, so that all gateways come to the same split and the rest
// empty. At least one engine stays with the others. `decoders` are split; none is gathering where prompts do
// no harm.
engine_split split_engines(const std::vector<placement_candidate>& candidates,
                           const std::vector<std::size_t>& decoders);

// Returns whether an engine takes one more of the long outputs that are gathered.
bool takes_long_output(const placement_candidate& candidate);

} // namespace tanager
