#pragma once

#include <string_view>

namespace tanager {

// What one process believes of another.
enum class peer_state {
    unknown,   // never heard of
    live,      // heard of lately
    suspected, // silent for longer than the suspicion time, or its connection broke
    leaving    // said so itself, or the platform's host list or an operator did; final for an incarnation
};

std::string_view name_of(peer_state state);

} // namespace tanager
