#pragma once

#include "base/clock.h"

#include <cstdint>
#include <string>

namespace tanager {

struct duty_settings {
    std::string holder;                     // name of this gateway
    std::chrono::milliseconds lease{3'000}; // after taking a duty over, nothing is done for this time

    friend bool operator==(const duty_settings&, const duty_settings&) = default;
};

// Returns the fencing token of a holder whose object was written with this version. Versions join era and
// revision, and are below 2^53 (see store/types/fencing_token.h).
inline std::uint64_t token_of_version(std::uint64_t version)
{
    return version;
}

} // namespace tanager
