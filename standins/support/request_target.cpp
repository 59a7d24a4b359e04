#include "standins/support/request_target.h"

#include "base/text.h"

#include <charconv>

namespace tanager::standin {

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
    request_target parsed{uri.substr(0, question_mark), {}};
    if (question_mark == std::string::npos) {
        return parsed;
    }
    for (const auto& parameter : split_list(uri.substr(question_mark + 1), '&')) {
        const auto equals = parameter.find('=');
        const std::string value = equals == std::string::npos ? std::string{} : parameter.substr(equals + 1);
        parsed.query[parameter.substr(0, equals)] = value;
    }
    return parsed;
}

} // namespace tanager::standin
