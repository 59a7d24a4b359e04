// The organisations that callers belong to, as the configuration lists them.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace tanager {

// The digest of a caller's key. Keys themselves are kept neither in memory nor in logs.
std::string digest_of_key(std::string_view key);

struct organisation {
    std::string name;
    std::optional<std::uint32_t> priority; // goes before the route's; 0 is the most urgent
    std::vector<std::string> key_digests;

    friend bool operator==(const organisation&, const organisation&) = default;
};

struct organisation_list {
    std::vector<organisation> organisations;
    // What was passed over in the configuration. It names entries by their position, and holds no key.
    std::vector<std::string> problems;

    friend bool operator==(const organisation_list&, const organisation_list&) = default;
};

// Whose request it is.
struct caller_identity {
    std::string organisation; // empty if the request needs none
    std::optional<std::uint32_t> priority;

    friend bool operator==(const caller_identity&, const caller_identity&) = default;
};

} // namespace tanager
