// Joins texts, where a test builds its input in a loop.
#pragma once

#include <initializer_list>
#include <string>
#include <string_view>

namespace tanager::testing {

inline std::string concatenate(std::initializer_list<std::string_view> parts)
{
    std::string whole;
    for (const auto part : parts) {
        whole += part;
    }
    return whole;
}

} // namespace tanager::testing
