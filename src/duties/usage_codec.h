// Encodes the usage reports for the platform and the counts that are fixed in its store.
#pragma once

#include "duties/types/usage_types.h"
#include "net/types/http_types.h"

namespace tanager {

enum class report_outcome {
    accepted,
    postponed, // the platform takes it later
    refused    // the platform finds fault with it
};

class usage_codec {
public:
    usage_codec() = default;
    usage_codec(const usage_codec&) = delete;
    usage_codec& operator=(const usage_codec&) = delete;
    usage_codec(usage_codec&&) = delete;
    usage_codec& operator=(usage_codec&&) = delete;
    virtual ~usage_codec() = default;

    virtual http_request
    encode_usage(const window_usage& usage, const std::string& holder, std::uint64_t token) const = 0;
    virtual report_outcome decode_outcome(const http_response& response) const = 0;
};

} // namespace tanager
