// Splits the decode engines into those for long outputs and those for prompts.
#pragma once

#include "placement/types/placement_candidate.h"

#include <vector>

namespace tanager {

// Decode engines as indexes of candidates.
struct engine_split {
    std::vector<std::size_t> isolated; // run long outputs, and prefill no long prompts
    std::vector<std::size_t> others;
};

// Splits `decoders`. Load pattern: long outputs last for seconds, and each prefill on the same engine
// lengthens their event gaps. Spread over all engines, they would leave none that may prefill. They are
// therefore isolated on as few engines as can hold them, plus spare slots for the long outputs of a lost
// engine. Of the engines whose speed suits long outputs best, those with the most long outputs are isolated,
// so that all gateways compute the same split and the other engines drain of long outputs. At least one
// engine stays in `others`. No engine is isolated unless a candidate has `isolate_long_outputs` set.
engine_split split_engines(const std::vector<placement_candidate>& candidates,
                           const std::vector<std::size_t>& decoders);

// Returns whether an isolated engine can take one more long output.
bool takes_long_output(const placement_candidate& candidate);

} // namespace tanager
