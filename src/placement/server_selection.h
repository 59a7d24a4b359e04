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
    no_available_server, // no server accepts this request
    no_free_slot,        // the servers that accept it are full
    share_exceeded,      // this gateway has taken its share of the slots
    no_engine_in_time,   // slots are free, but no engine can prefill the prompt within its objective
    link_busy            // this host's link cannot carry the request now
};

using placement_result = tl::expected<placement, placement_error>;

// Chooses a server of a plain service: the one with the smallest share of its slots in use, at random among
// equals. Load pattern: many short requests, each costing about the same, on a few servers of which some are
// slow.
placement_result choose_plain_server(const std::vector<placement_candidate>& candidates,
                                     random_source& random);

// Chooses the decode engine for a prompt that another engine has already prefilled into a KV cache.
placement_result choose_decode_engine(const std::vector<placement_candidate>& candidates,
                                      random_source& random);

// Chooses the decode engine, and a separate prefill engine where that is better. Load pattern: bursts of long
// prompts that share most of their tokens with a few hundred others, between few prompts with long outputs.
//
// Short prompts go to the least used decode engine. Long ones go to a prefill engine, or to a decode engine
// that prefills them itself: to one that has their prefix cached, or else to the first in the order of a
// rendezvous hash on the prefix, so that each prefix is prefilled once. Engines that would miss the first
// event within the time left are passed over, and so are decode engines whose streams the prefill would hold
// up for longer than their gap objective. If no engine with the prefix is in time, another one fetches it
// from there. A prompt that even an idle engine could not prefill in time goes to an engine with few pending
// prefill tokens.
//
// With prefill disaggregation this host sends the prompt twice, which takes long on a host with little
// bandwidth. `prompt_send_delay` is the delay of sending it once.
placement_result choose_engines(const prompt_shape& prompt,
                                const prompt_objectives& objectives,
                                const std::vector<placement_candidate>& candidates,
                                random_source& random,
                                const send_delay& prompt_send_delay = {});

} // namespace tanager
