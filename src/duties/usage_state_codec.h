// Encodes the windows whose counts are fixed, for the store.
#pragma once

#include "base/types/result.h"
#include "duties/types/usage_types.h"

#include <string>
#include <vector>

namespace tanager {

// What a successor has to go on with: it sends exactly the counts of the unsent windows, and never those of
// other windows up to `fixed_through`. In a later era than `era`, windows that ended before that one began
// may have been fixed as well.
struct usage_state {
    window_number fixed_through = 0; // 0 before the first window
    std::vector<window_usage> unsent;
    std::uint64_t era = 0; // of the store, in which the holder wrote the state

    friend bool operator==(const usage_state&, const usage_state&) = default;
};

std::string encode_usage_state(const usage_state& state);

// An empty text is the state before the first window. Fails with request_malformed.
result<usage_state> decode_usage_state(const std::string& text);

} // namespace tanager
