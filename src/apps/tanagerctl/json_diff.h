#pragma once

#include <string>

namespace tanager {

// Returns the differences of two JSON texts, a line each: `- path: old` and `+ path: new`. Empty when equal.
std::string diff_json(const std::string& before, const std::string& after);

} // namespace tanager
