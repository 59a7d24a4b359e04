// Holds a run against the promises of the pages.
#pragma once

#include "soak/soak_record.h"

#include <string>
#include <vector>

namespace tanager::soak {

// Returns a line for each broken promise, with the request that shows it.
std::vector<std::string> find_guarantee_violations(const soak_record& record);

} // namespace tanager::soak
