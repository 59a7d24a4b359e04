// Encodes crash suspicions as messages between gateways and decodes them.
#pragma once

#include "base/types/result.h"
#include "quarantine/types/crash_suspicion.h"

#include <string>
#include <string_view>
#include <vector>

namespace tanager {

std::string encode_suspicions(const std::vector<crash_suspicion>& suspicions);

// Fails with request_malformed.
result<std::vector<crash_suspicion>> decode_suspicions(std::string_view message);

} // namespace tanager
