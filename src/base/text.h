// Small helpers on text.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace tanager {

// Returns the number of single-character edits that turn one text into the other.
std::size_t edit_distance(std::string_view left, std::string_view right);

// Returns the candidate nearest to a word, or nothing when none is within half of the word's length.
std::optional<std::string> nearest_word(std::string_view word, const std::vector<std::string>& candidates);

// Splits at a separator, trims blanks and leaves out empty parts.
std::vector<std::string> split_list(std::string_view text, char separator = ',');

// Returns 16 lower-case hexadecimal digits.
std::string to_hex(std::uint64_t value);

} // namespace tanager
