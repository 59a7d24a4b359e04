#include "standins/support/request_target.h"

#include "base/text.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cstdlib>
#include <event2/http.h>
#include <memory>

namespace tanager::standin {

namespace {

std::string decode(const std::string& text)
{
    std::size_t size = 0;
    const std::unique_ptr<char, decltype(&std::free)> decoded{evhttp_uridecode(text.c_str(), 0, &size),
                                                              &std::free};
    return {decoded.get(), size};
}

// Returns whether a target consists of the characters that RFC 3986 allows in a path and a query.
bool is_valid_target(std::string_view uri)
{
    constexpr std::string_view symbols = "-._~!$&'()*+,;=:@/?";
    const auto is_hex = [uri](std::size_t at) {
        return at < uri.size() && std::isxdigit(static_cast<unsigned char>(uri[at])) != 0;
    };
    for (std::size_t at = 0; at < uri.size(); ++at) {
        const auto byte = static_cast<unsigned char>(uri[at]);
        const bool is_plain =
            (byte < 0x80 && std::isalnum(byte) != 0) || symbols.find(uri[at]) != std::string_view::npos;
        if (!is_plain && !(uri[at] == '%' && is_hex(at + 1) && is_hex(at + 2))) {
            return false;
        }
    }
    return true;
}

} // namespace

std::string request_target::query_text(const std::string& name, const std::string& fallback) const
{
    const auto found = this->query.find(name);
    return found == this->query.end() ? fallback : found->second;
}

std::uint64_t request_target::query_number(const std::string& name, std::uint64_t fallback) const
{
    const std::string value = this->query_text(name);
    std::uint64_t parsed = fallback;
    std::from_chars(value.data(), value.data() + value.size(), parsed); // NOLINT(*-pointer-arithmetic)
    return parsed;
}

request_target parse_request_target(const std::string& uri)
{
    const auto question_mark = uri.find('?');
    request_target parsed{decode(uri.substr(0, question_mark)), {}, is_valid_target(uri)};
    if (question_mark == std::string::npos) {
        return parsed;
    }
    for (const auto& parameter : split_list(uri.substr(question_mark + 1), '&')) {
        const auto equals = parameter.find('=');
        const std::string value = equals == std::string::npos ? std::string{} : parameter.substr(equals + 1);
        parsed.query[decode(parameter.substr(0, equals))] = decode(value);
    }
    return parsed;
}

} // namespace tanager::standin
