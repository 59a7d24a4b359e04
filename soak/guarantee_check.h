// Checks the record of a soak run against the documented guarantees.
#pragma once

#include "soak/soak_record.h"

#include <string>
#include <vector>

namespace tanager::soak {

// Returns one line for each violation, with the name of the guarantee and the request that violates it.
std::vector<std::string> find_guarantee_violations(const soak_record& record);

} // namespace tanager::soak
