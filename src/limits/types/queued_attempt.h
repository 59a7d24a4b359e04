#pragma once

#include "base/clock.h"

#include <cstdint>
#include <string>

namespace tanager {

// Work that waits at an agent. `ticket` is the queue's own name for it.
struct queued_attempt {
    std::uint64_t ticket = 0;
    std::string member;
    std::uint32_t pieces = 0;
    std::uint32_t priority = 0; // higher first
    time_point deadline;
    bool exclusive = false; // nothing else may run beside it

    friend bool operator==(const queued_attempt&, const queued_attempt&) = default;
};

} // namespace tanager
