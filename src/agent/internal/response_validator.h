#pragma once

#include "answers/sse_stream_validator.h"
#include "base/types/result.h"
#include "net/types/http_types.h"

#include <string>
#include <string_view>

namespace tanager {

// What an agent expects of an answer.
enum class response_format {
    opaque,      // a plain service's answer; HTTP's own framing is all there is
    json,        // one JSON value
    event_stream // server-sent events that end with [DONE]
};

// Returns the shape that a model engine's reply claims.
response_format response_format_of(const http_headers& headers);

// Checks one answer as it passes.
class response_validator {
public:
    explicit response_validator(response_format format);

    // Fails with backend_answer_malformed at the first sign that the answer is not of its shape.
    result<void> feed(std::string_view data);

    // Fails with backend_answer_truncated or backend_answer_malformed when the answer is not whole.
    result<void> check_complete() const;

private:
    response_format format;
    sse_stream_validator events;
    std::string json_body;
};

} // namespace tanager
