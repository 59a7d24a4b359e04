// Encodes relayed changes as datagrams and decodes them.
#pragma once

#include "base/types/result.h"
#include "relay/types/feed_types.h"

#include <string>
#include <string_view>

namespace tanager {

// Leaves out the objects and marks them as omitted if the datagram would exceed `max_bytes`.
std::string encode_changes(const relayed_changes& relayed, std::size_t max_bytes);

// Fails with request_malformed.
result<relayed_changes> decode_changes(std::string_view datagram);

} // namespace tanager
