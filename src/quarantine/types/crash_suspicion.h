#pragma once

#include "base/clock.h"
#include "quarantine/types/request_traits.h"

#include <cstdint>
#include <vector>

namespace tanager {

// A backend server that ended while it ran a request.
struct server_end {
    std::uint64_t server = 0;  // hash of the server's id and incarnation
    bool is_confirmed = false; // its port refused a connection; otherwise it only stayed silent
    time_point ended_at{};     // at the first sign of it
    time_point sent_at{};      // when the last of the requests in question was sent to it
    bool is_excused = false;   // a server has completed a request with the trait since

    friend bool operator==(const server_end&, const server_end&) = default;
};

// The servers that ended under requests with one trait. Gateways exchange suspicions and merge them.
struct crash_suspicion {
    request_trait trait;
    std::vector<server_end> ends;
    std::chrono::milliseconds age{0}; // of the last change

    // Returns the ends that count.
    std::vector<server_end> unexcused_ends() const
    {
        auto counted = this->ends;
        std::erase_if(counted, [](const server_end& end) { return end.is_excused; });
        return counted;
    }

    friend bool operator==(const crash_suspicion&, const crash_suspicion&) = default;
};

} // namespace tanager
