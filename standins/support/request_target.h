#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace tanager::standin {

// Path and query of a request, percent-decoded as by RFC 3986: a plus sign stands for itself.
struct request_target {
    std::string path;
    std::map<std::string, std::string> query;
    bool is_valid = true; // the target holds no character that must be encoded

    std::string query_text(const std::string& name, const std::string& fallback = {}) const;
    std::uint64_t query_number(const std::string& name, std::uint64_t fallback = 0) const;
};

request_target parse_request_target(const std::string& uri);

} // namespace tanager::standin
