#include "logging/internal/event_line.h"

#include "base/text.h"

#include <algorithm>

namespace tanager {

namespace {

constexpr std::string_view cut_off_mark = "...";

bool is_printable(char character)
{
    return character >= ' ' && character <= '~';
}

bool needs_quotes(std::string_view value)
{
    return value.empty() || value.find_first_of(" \"=\\") != std::string_view::npos ||
           !std::ranges::all_of(value, is_printable);
}

std::string escape(char character)
{
    if (!is_printable(character)) {
        constexpr std::size_t digits = 2;
        const auto hex = to_hex(static_cast<unsigned char>(character));
        return "\\x" + hex.substr(hex.size() - digits);
    }
    return character == '"' || character == '\\' ? std::string{'\\', character} : std::string{character};
}

void append_value(std::string& line, std::string_view value)
{
    if (!needs_quotes(value)) {
        line += value.substr(0, max_value_bytes);
        line += value.size() > max_value_bytes ? cut_off_mark : std::string_view{};
        return;
    }
    const auto max_size = line.size() + max_value_bytes;
    line += '"';
    for (const char character : value) {
        if (line.size() >= max_size) {
            line += cut_off_mark;
            break;
        }
        line += escape(character);
    }
    line += '"';
}

} // namespace

std::string format_line(log_event event, std::initializer_list<log_field> fields)
{
    std::string line = std::to_string(static_cast<int>(event));
    line += ' ';
    line += name_of(event);
    for (const auto& field : fields) {
        line += ' ';
        line += field.key;
        line += '=';
        append_value(line, field.value);
    }
    if (line.size() > max_line_bytes) {
        line.resize(max_line_bytes);
    }
    return line;
}

} // namespace tanager
