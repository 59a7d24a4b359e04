#pragma once

#include <string_view>

namespace tanager {

// State of a peer as seen by this process.
enum class peer_state {
    unknown,   // no heartbeat received yet
    live,      // last heartbeat is within its timeout
    suspected, // no heartbeat within the timeout, or its connection broke
    leaving // announced by its heartbeat, which is final for the incarnation, or set by the host list or an
            // operator
};

std::string_view name_of(peer_state state);

} // namespace tanager
