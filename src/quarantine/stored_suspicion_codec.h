// Encodes crash suspicions as objects of the store and decodes them.
#pragma once

#include "base/types/result.h"
#include "quarantine/types/crash_suspicion.h"

#include <string>
#include <string_view>

namespace tanager {

// Returns the name that all gateways give the object of a trait, without a prefix.
std::string stored_suspicion_name(const request_trait& trait);

// Times are stored as ages in milliseconds at `now`, since each host has its own clock.
std::string encode_stored_suspicion(const crash_suspicion& suspicion, time_point now);

// Takes the ages for those at `now`. Fails with request_malformed: any process that reaches the store can
// write such an object.
result<crash_suspicion> decode_stored_suspicion(std::string_view text, time_point now);

} // namespace tanager
