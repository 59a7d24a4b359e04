#pragma once

#include "base/clock.h"

#include <cstdint>
#include <string>

namespace tanager {

// An attempt that waits at an agent for its backend server.
struct queued_attempt {
    std::uint64_t ticket = 0; // identifies the attempt in its queue
    std::string member;
    std::uint32_t pieces = 0;   // estimated size, in pieces of about 2,000 tokens
    std::uint32_t priority = 0; // higher first
    time_point deadline;
    bool exclusive = false; // no other attempt may run on the backend server at the same time

    friend bool operator==(const queued_attempt&, const queued_attempt&) = default;
};

} // namespace tanager
