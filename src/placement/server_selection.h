// Chooses the backend servers for one attempt.
#pragma once

#include "base/random_source.h"
#include "placement/types/placement_candidate.h"
#include "uplink/uplink.h"

#include <chrono>
#include <tl/expected.hpp>
#include <vector>

namespace tanager {

// Why no server was chosen.
enum class placement_error {
    no_available_server, // none takes work for this request
    no_free_slot         // those that take work are full
};

using placement_result = tl::expected<placement, placement_error>;

// Chooses a server of a plain service: the one with the smallest share of its slots in use, drawn by lot
// among equals. Load pattern: many short requests, each costing about the same, on a few servers of which
// some are slow.
placement_result choose_plain_server(const std::vector<placement_candidate>& candidates,
                                     random_source& random);

// Chooses the engine that generates from a KV cache that another one has read the prompt into.
placement_result choose_decode_engine(const std::vector<placement_candidate>& candidates,
                                      random_source& random);

// Chooses the engine that generates, and one that reads the prompt for it where that is better. Load pattern:
// bursts of long prompts that share most of their tokens with a few hundred others, between few prompts with
// long outputs.
//
// Short prompts go to the decode engine with most room. A long one goes to a reader, or to a decode engine
// that reads it itself, in the order of a rendezvous hash on its shared part, so that the part is read once;
// engines that could not give the first event within `time_left` are passed over. A prompt that no idle
// engine could read in that time is placed where little is to be read before it.
//
// A prompt that is read apart leaves this host twice. On a host with a thin link that time decides: `sending`
// is what one of the two takes.
placement_result choose_engines(const prompt_shape& prompt,
                                std::chrono::milliseconds time_left,
                                const std::vector<placement_candidate>& candidates,
                                random_source& random,
                                const send_delay& prompt_send_delay = {});

} // namespace tanager
