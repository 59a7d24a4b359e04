#pragma once

#include "base/random_source.h"

#include <random>

namespace tanager {

// Generates a reproducible random sequence from a seed.
class seeded_random final : public random_source {
public:
    explicit seeded_random(std::uint64_t seed) : engine(seed) {}

    std::uint64_t next() override
    {
        return this->engine();
    }

private:
    std::mt19937_64 engine;
};

} // namespace tanager
