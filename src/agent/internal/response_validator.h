#pragma once

#include "answers/sse_stream_validator.h"
#include "base/types/result.h"
#include "net/types/http_types.h"

#include <string>
#include <string_view>

namespace tanager {

// The expected format of a backend server's HTTP response body.
enum class response_format {
    opaque,      // response of a plain service, which is checked only by the HTTP framing
    json,        // one JSON value
    event_stream // server-sent events that end with [DONE]
};

// Returns the format that the Content-Type of a model engine's response states: event_stream or json.
response_format response_format_of(const http_headers& headers);

// Validates one response body incrementally.
class response_validator {
public:
    explicit response_validator(response_format format);

    // Fails with backend_answer_malformed as soon as the body violates the format, or when a JSON body
    // exceeds 8 MiB.
    result<void> feed(std::string_view data);

    // Fails when the body is incomplete: with backend_answer_truncated for an event stream without [DONE],
    // with backend_answer_malformed for invalid JSON.
    result<void> check_complete() const;

private:
    response_format format;
    sse_stream_validator events;
    std::string json_body;
};

} // namespace tanager
