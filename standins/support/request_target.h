#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace tanager::standin {

// A path with its query, as the stand-ins read it.
struct parsed_path {
    std::string path;
    std::map<std::string, std::string> query;

    std::string text(const std::string& name, const std::string& fallback = {}) const;
    std::uint64_t number(const std::string& name, std::uint64_t fallback = 0) const;
};

parsed_path parse_path(const std::string& uri);

} // namespace tanager::standin
