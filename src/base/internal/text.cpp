#include "base/text.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <numeric>

namespace tanager {

namespace {

constexpr int hexadecimal_base = 16;
constexpr std::size_t hex_digits_of_64_bits = 16;
constexpr std::size_t max_listed_values = 8;
constexpr std::string_view whitespace = " \t\r\n";

std::string_view trim(std::string_view text)
{
    const auto first = text.find_first_not_of(whitespace);
    if (first == std::string_view::npos) {
        return {};
    }
    const auto last = text.find_last_not_of(whitespace);
    return text.substr(first, last - first + 1);
}

} // namespace

std::size_t edit_distance(std::string_view left, std::string_view right)
{
    std::vector<std::size_t> row(right.size() + 1);
    std::iota(row.begin(), row.end(), std::size_t{0});
    for (std::size_t i = 1; i <= left.size(); ++i) {
        std::size_t diagonal = row[0];
        row[0] = i;
        for (std::size_t j = 1; j <= right.size(); ++j) {
            const std::size_t substitution = diagonal + (left[i - 1] == right[j - 1] ? 0 : 1);
            diagonal = row[j];
            row[j] = std::min({row[j] + 1, row[j - 1] + 1, substitution});
        }
    }
    return row.back();
}

std::optional<std::string> nearest_word(std::string_view word, const std::vector<std::string>& candidates)
{
    std::optional<std::string> nearest;
    std::size_t nearest_distance = word.size() / 2 + 1;
    for (const auto& candidate : candidates) {
        const std::size_t distance = edit_distance(word, candidate);
        if (distance < nearest_distance) {
            nearest_distance = distance;
            nearest = candidate;
        }
    }
    return nearest;
}

std::vector<std::string> split_list(std::string_view text, char separator)
{
    std::vector<std::string> parts;
    while (!text.empty()) {
        const auto end = text.find(separator);
        const auto part = trim(text.substr(0, end));
        if (!part.empty()) {
            parts.emplace_back(part);
        }
        if (end == std::string_view::npos) {
            break;
        }
        text.remove_prefix(end + 1);
    }
    return parts;
}

std::string to_hex(std::uint64_t value)
{
    std::array<char, hex_digits_of_64_bits> digits{};
    const auto written = std::to_chars(digits.begin(), digits.end(), value, hexadecimal_base);
    const std::string significant_digits(digits.begin(), written.ptr);
    return std::string(hex_digits_of_64_bits - significant_digits.size(), '0') + significant_digits;
}

std::string to_hex_list(const std::vector<std::uint64_t>& values)
{
    if (values.empty()) {
        return "-";
    }
    std::string list;
    for (std::size_t index = 0; index < std::min(values.size(), max_listed_values); ++index) {
        list += (index > 0 ? "," : "") + to_hex(values[index]);
    }
    return list;
}

} // namespace tanager
