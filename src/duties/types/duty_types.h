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

// Returns the fencing token of a holder whose object was written with this version. The one place where
// tokens are made: they are below 2^53, since receivers may read them as floating-point numbers.
inline std::uint64_t make_fencing_token(std::uint64_t version)
{
    return version;
}

} // namespace tanager
