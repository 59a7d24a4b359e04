// Interface to random numbers, so that a seed makes a run reproducible.
#pragma once

#include <cstdint>

namespace tanager {

class random_source {
public:
    random_source() = default;
    random_source(const random_source&) = delete;
    random_source& operator=(const random_source&) = delete;
    random_source(random_source&&) = delete;
    random_source& operator=(random_source&&) = delete;
    virtual ~random_source() = default;

    // Returns 64 uniformly distributed bits.
    virtual std::uint64_t next() = 0;
};

} // namespace tanager
