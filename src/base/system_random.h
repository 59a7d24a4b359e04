#pragma once

#include "base/random_source.h"

#include <random>

namespace tanager {

// A Mersenne Twister, seeded from std::random_device or from a given seed.
class system_random final : public random_source {
public:
    system_random();
    explicit system_random(std::uint64_t seed);

    std::uint64_t next() override;

private:
    std::mt19937_64 engine;
};

} // namespace tanager
