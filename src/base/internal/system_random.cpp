#include "base/system_random.h"

namespace tanager {

namespace {

constexpr unsigned bits_per_draw = 32;

std::uint64_t draw_entropy()
{
    std::random_device device;
    const std::uint64_t high = device();
    return (high << bits_per_draw) | device();
}

} // namespace

system_random::system_random() : engine(draw_entropy()) {}

system_random::system_random(std::uint64_t seed) : engine(seed) {}

std::uint64_t system_random::next()
{
    return this->engine();
}

} // namespace tanager
