#include "agent/internal/response_validator.h"

#include <nlohmann/json.hpp>

namespace tanager {

namespace {

constexpr std::size_t longest_json_bytes = std::size_t{8} * 1024 * 1024;

} // namespace

answer_shape shape_of(const http_headers& headers)
{
    return find_header(headers, "Content-Type").starts_with("text/event-stream") ? answer_shape::event_stream
                                                                                 : answer_shape::json;
}

answer_check::answer_check(answer_shape shape) : shape(shape) {}

result<void> answer_check::feed(std::string_view data)
{
    if (this->shape == answer_shape::event_stream && !this->events.feed(data)) {
        return fail(result_code::backend_answer_malformed, "the stream holds a line that is no event");
    }
    if (this->shape == answer_shape::json) {
        this->json += data;
        if (this->json.size() > longest_json_bytes) {
            return fail(result_code::backend_answer_malformed, "the answer is too long");
        }
    }
    return {};
}

result<void> answer_check::finish() const
{
    if (this->shape == answer_shape::event_stream && !this->events.is_complete()) {
        return fail(result_code::backend_answer_truncated, "the stream ended without [DONE]");
    }
    if (this->shape == answer_shape::json && !nlohmann::json::accept(this->json)) {
        return fail(result_code::backend_answer_malformed, "the answer is not JSON");
    }
    return {};
}

} // namespace tanager
