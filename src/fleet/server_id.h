// Says which names of entries in the store name a backend server.
#pragma once

#include <string_view>

namespace tanager {

// The longest id of a server, in bytes. A DNS name has no more.
inline constexpr std::size_t max_server_id_bytes = 253;

// Returns whether a name is the id of a server: one to `max_server_id_bytes` letters and digits of ASCII,
// `-`,
// `.`, `_` and `~`, the unreserved characters of RFC 3986. Such an id stands for itself in a header, a path,
// a log line and the label of a metric.
bool is_server_id(std::string_view name);

} // namespace tanager
