#pragma once

#include <string>

namespace tanager {

// Returns the differences between two JSON texts, one line each: `- path: old` and `+ path: new`. Empty when
// they are equal. Text that is not JSON is treated as an empty object.
std::string diff_json(const std::string& before, const std::string& after);

} // namespace tanager
