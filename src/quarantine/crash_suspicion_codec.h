// Encodes crash suspicions as messages between gateways and decodes them.
#pragma once

#include "base/types/result.h"
#include "quarantine/types/crash_suspicion.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace tanager {

// Encodes suspicions in their order, in as few messages of at most `max_message_bytes` as possible; a single
// suspicion may exceed that. Times are sent as ages in milliseconds, since each host has its own clock.
std::vector<std::string> encode_suspicions(const std::vector<crash_suspicion>& suspicions,
                                           std::size_t max_message_bytes,
                                           time_point now);

// Fails with request_malformed.
result<std::vector<crash_suspicion>> decode_suspicions(std::string_view message, time_point now);

} // namespace tanager
