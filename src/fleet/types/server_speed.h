// How fast engines decode, as measured and as rated for long outputs.
#pragma once

#include "base/clock.h"

#include <cstdint>

namespace tanager {

// How an engine's decode speed suits long outputs.
enum class decode_speed {
    suitable, // its events keep the gap objective, noise included, and no engine is much faster
    slower,   // its events keep the gap objective, noise included, but others are much faster
    unknown,  // without recent events, while other engines are known to differ
    too_slow  // its events exceed the gap objective, noise included
};

// Events of streams that an engine has sent within a short span.
struct event_times {
    std::uint32_t events = 0;
    std::chrono::duration<double, std::milli> total{0}; // time for all of them
    std::uint32_t running = 0;                          // requests on the engine meanwhile, of all gateways

    friend bool operator==(const event_times&, const event_times&) = default;
};

} // namespace tanager
