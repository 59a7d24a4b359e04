// Decides whether a caller whose request this host cannot carry should try another gateway at once.
#pragma once

#include <chrono>
#include <cstddef>
#include <optional>

namespace tanager {

// The other gateways, as last reported.
struct gateways_with_room {
    std::size_t able = 0; // whose links could carry the request now
    std::size_t all = 0;

    friend bool operator==(const gateways_with_room&, const gateways_with_room&) = default;
};

// Returns a delay of next to nothing if a retry, which reaches any other gateway, is more likely than not to
// be carried there, and nullopt if the caller should rather wait.
//
// Load pattern: callers are spread unevenly over gateways with unequal links, so that some links are full
// while the engines and most gateways have room. Once most links are full, immediate retries would only move
// the load from one full link to the next, and to the few large ones.
std::optional<std::chrono::milliseconds> retry_after_elsewhere(const gateways_with_room& others);

} // namespace tanager
