// Text helpers: edit distance, splitting of lists and hexadecimal output.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace tanager {

// Returns the Levenshtein distance between two texts, in bytes.
std::size_t edit_distance(std::string_view left, std::string_view right);

// Returns the candidate with the smallest edit distance to a word, or nothing if that distance exceeds half
// of the word's length.
std::optional<std::string> nearest_word(std::string_view word, const std::vector<std::string>& candidates);

// Splits at a separator, trims whitespace and skips empty parts.
std::vector<std::string> split_list(std::string_view text, char separator = ',');

// Returns the value as 16 lower-case hexadecimal digits, padded with zeros.
std::string to_hex(std::uint64_t value);

// Returns at most the first 8 values as by `to_hex`, separated by commas, and "-" if there are none.
std::string to_hex_list(const std::vector<std::uint64_t>& values);

} // namespace tanager
