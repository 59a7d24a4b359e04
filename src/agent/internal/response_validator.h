#pragma once

#include "answers/sse_stream_validator.h"
#include "base/types/result.h"
#include "net/types/http_types.h"

#include <string>
#include <string_view>

namespace tanager {

// What an agent expects of an answer.
enum class answer_shape {
    opaque,      // a plain service's answer; HTTP's own framing is all there is
    json,        // one JSON value
    event_stream // server-sent events that end with [DONE]
};

// Returns the shape that a model engine's reply claims.
answer_shape shape_of(const http_headers& headers);

// Checks one answer as it passes.
class answer_check {
public:
    explicit answer_check(answer_shape shape);

    // Fails with backend_answer_malformed at the first sign that the answer is not of its shape.
    result<void> feed(std::string_view data);

    // Fails with backend_answer_truncated or backend_answer_malformed when the answer is not whole.
    result<void> finish() const;

private:
    answer_shape shape;
    sse_stream_validator events;
    std::string json;
};

} // namespace tanager
