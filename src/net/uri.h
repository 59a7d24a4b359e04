// Puts texts into the targets of requests.
#pragma once

#include <string>
#include <string_view>

namespace tanager {

// Percent-encodes a text as one segment of a path or one value of a query: every byte but the unreserved
// characters of RFC 3986 (letters, digits, `-`, `.`, `_` and `~`).
std::string encode_uri_component(std::string_view text);

// Percent-encodes a path or the value of a query that consists of several segments; slashes stay.
std::string encode_uri_segments(std::string_view text);

} // namespace tanager
