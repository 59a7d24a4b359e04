// Nested sections for CppUnit tests.
//
// A test reads as a story: section("an agent restarts", [&] { section("its share is free again", ...); });
// A failing assertion is reported with the names of all sections around it.
#pragma once

#include <functional>
#include <string>

namespace tanager::testing {

void section(const std::string& title, const std::function<void()>& body);

} // namespace tanager::testing
