// Nested sections for CppUnit tests.
//
// Example: section("an agent restarts", [&] { section("its share is free again", ...); });
// A failed assertion is reported with the titles of all enclosing sections.
#pragma once

#include <functional>
#include <string>

namespace tanager::testing {

// Runs `body`. Adds `title` to the message of a failed assertion and throws it again.
void section(const std::string& title, const std::function<void()>& body);

} // namespace tanager::testing
