#include "net/types/http_types.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cctype>
#include <charconv>
#include <strings.h>

namespace tanager {

namespace {

constexpr int status_no_content = 204;
constexpr int status_not_modified = 304;
// More digits do not fit into 64 bits.
constexpr std::size_t max_length_digits = 18;

bool equals_ignoring_case(std::string_view left, std::string_view right)
{
    return left.size() == right.size() && strncasecmp(left.data(), right.data(), left.size()) == 0;
}

bool is_digit(char character)
{
    return std::isdigit(static_cast<unsigned char>(character)) != 0;
}

bool is_control(char character)
{
    constexpr unsigned char last_control = 0x1F;
    constexpr unsigned char delete_character = 0x7F;
    const auto byte = static_cast<unsigned char>(character);
    return byte <= last_control || byte == delete_character;
}

// Returns whether a text begins with a status and ends there, or goes on after a space.
bool begins_with_status(std::string_view text)
{
    constexpr std::size_t status_digits = 3;
    return text.size() >= status_digits && std::ranges::all_of(text.substr(0, status_digits), is_digit) &&
           (text.size() == status_digits || text[status_digits] == ' ');
}

bool holds_status_line(std::string_view text)
{
    const std::string_view version = "HTTP/1.";
    for (auto at = text.find(version); at != std::string_view::npos; at = text.find(version, at + 1)) {
        const auto rest = text.substr(at + version.size());
        if (rest.size() > 2 && is_digit(rest[0]) && rest[1] == ' ' && begins_with_status(rest.substr(2))) {
            return true;
        }
    }
    return false;
}

std::size_t count_headers(const http_headers& headers, std::string_view name)
{
    return static_cast<std::size_t>(std::ranges::count_if(
        headers, [&](const auto& header) { return equals_ignoring_case(header.name, name); }));
}

bool is_length(std::string_view text)
{
    return !text.empty() && text.size() <= max_length_digits &&
           text.find_first_not_of("0123456789") == std::string_view::npos;
}

} // namespace

result<socket_address> parse_address(const std::string& text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos || colon == 0) {
        return fail(result_code::address_invalid, "'" + text + "' is not ip:port");
    }
    const std::string port_text = text.substr(colon + 1);
    const char* const end = port_text.data() + port_text.size(); // NOLINT(*-pointer-arithmetic)
    std::uint16_t port = 0;
    const auto parsed = std::from_chars(port_text.data(), end, port);
    if (parsed.ec != std::errc{} || parsed.ptr != end || port_text.empty()) {
        return fail(result_code::address_invalid, "'" + text + "' has no valid port");
    }
    return socket_address{text.substr(0, colon), port};
}

std::string to_text(const socket_address& address)
{
    return address.host + ":" + std::to_string(address.port);
}

bool has_ipv4_host(const socket_address& address)
{
    in_addr parsed{};
    return inet_pton(AF_INET, address.host.c_str(), &parsed) == 1;
}

std::string find_header(const http_headers& headers, std::string_view name)
{
    const auto found = std::ranges::find_if(
        headers, [&](const auto& header) { return equals_ignoring_case(header.name, name); });
    return found == headers.end() ? std::string{} : found->value;
}

std::string media_type_of(const http_headers& headers)
{
    const auto content_type = find_header(headers, "Content-Type");
    std::string media_type = content_type.substr(0, content_type.find_first_of("; \t"));
    std::ranges::transform(media_type, media_type.begin(), [](unsigned char letter) {
        return static_cast<char>(std::tolower(letter));
    });
    return media_type;
}

bool is_header_name(std::string_view name)
{
    constexpr std::string_view symbols = "!#$%&'*+-.^_`|~";
    return !name.empty() && std::ranges::all_of(name, [&](unsigned char letter) {
        return letter < 0x80 && (std::isalnum(letter) != 0 ||
                                 symbols.find(static_cast<char>(letter)) != std::string_view::npos);
    });
}

bool is_header_word(std::string_view text)
{
    return !text.empty() &&
           std::ranges::none_of(text, [](char byte) { return byte == ' ' || is_control(byte); });
}

bool is_sendable(const http_request& request)
{
    // A target consists of the same characters.
    return is_header_word(request.path) && is_header_name(request.method) &&
           std::ranges::all_of(request.headers, [](const auto& header) {
               return is_header_name(header.name) && std::ranges::none_of(header.value, [](char byte) {
                          return byte != '\t' && is_control(byte);
                      });
           });
}

bool is_framing_ambiguous(std::string_view method, const http_headers& headers)
{
    const auto lengths = count_headers(headers, "Content-Length");
    const auto encodings = count_headers(headers, "Transfer-Encoding");
    const auto length = find_header(headers, "Content-Length");
    const bool has_body = encodings > 0 || (lengths > 0 && length != "0");
    return lengths + encodings > 1 || (lengths == 1 && !is_length(length)) ||
           (encodings == 1 && !equals_ignoring_case(find_header(headers, "Transfer-Encoding"), "chunked")) ||
           (method == "HEAD" && has_body) ||
           std::ranges::any_of(headers, [](const auto& header) { return !is_header_name(header.name); });
}

status_line_state check_status_line(std::string_view start)
{
    // `d` stands for a digit, `s` for the first digit of a status, `e` for a space or the end of the line.
    constexpr std::string_view pattern = "HTTP/1.d sdde";
    static_assert(pattern.size() == checked_status_line_bytes);
    const auto is_digit = [](char byte) {
        return byte >= '0' && byte <= '9';
    };
    for (std::size_t index = 0; index < pattern.size(); ++index) {
        if (index >= start.size()) {
            return status_line_state::incomplete;
        }
        const char byte = start[index];
        bool is_valid = byte == pattern[index];
        if (pattern[index] == 'd') {
            is_valid = is_digit(byte);
        } else if (pattern[index] == 's') {
            is_valid = byte >= '1' && byte <= '5';
        } else if (pattern[index] == 'e') {
            is_valid = byte == ' ' || byte == '\r' || byte == '\n';
        }
        if (!is_valid) {
            return status_line_state::invalid;
        }
    }
    return status_line_state::valid;
}

bool is_joined_head(std::string_view reason, const http_headers& headers)
{
    // A status line that was broken off after its status ends with the status of the next response.
    return begins_with_status(reason) || holds_status_line(reason) ||
           std::ranges::any_of(headers, [](const auto& row) { return holds_status_line(row.value); });
}

bool is_framed(int status, const http_headers& headers)
{
    return !find_header(headers, "Content-Length").empty() ||
           !find_header(headers, "Transfer-Encoding").empty() || status == status_no_content ||
           status == status_not_modified;
}

} // namespace tanager
