#include "net/types/http_types.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <strings.h>

namespace tanager {

namespace {

constexpr int status_no_content = 204;
constexpr int status_not_modified = 304;

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

std::string find_header(const http_headers& headers, std::string_view name)
{
    for (const auto& header : headers) {
        const bool same_length = header.name.size() == name.size();
        if (same_length && strncasecmp(header.name.data(), name.data(), name.size()) == 0) {
            return header.value;
        }
    }
    return {};
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

bool is_framed(int status, const http_headers& headers)
{
    return !find_header(headers, "Content-Length").empty() ||
           !find_header(headers, "Transfer-Encoding").empty() || status == status_no_content ||
           status == status_not_modified;
}

} // namespace tanager
