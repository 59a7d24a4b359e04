#include "agent/internal/response_validator.h"

#include <nlohmann/json.hpp>

namespace tanager {

namespace {

constexpr std::size_t max_json_bytes = std::size_t{8} * 1024 * 1024;

} // namespace

response_format response_format_of(const http_headers& headers)
{
    return find_header(headers, "Content-Type").starts_with("text/event-stream")
               ? response_format::event_stream
               : response_format::json;
}

response_validator::response_validator(response_format format) : format(format) {}

result<void> response_validator::feed(std::string_view data)
{
    if (this->format == response_format::event_stream && !this->events.feed(data)) {
        return fail(result_code::backend_answer_malformed, "the stream holds a line that is no event");
    }
    if (this->format == response_format::json) {
        this->json_body += data;
        if (this->json_body.size() > max_json_bytes) {
            return fail(result_code::backend_answer_malformed, "the answer is too long");
        }
    }
    return {};
}

result<void> response_validator::check_complete() const
{
    if (this->format == response_format::event_stream && !this->events.is_complete()) {
        return fail(result_code::backend_answer_truncated, "the stream ended without [DONE]");
    }
    if (this->format == response_format::json && !nlohmann::json::accept(this->json_body)) {
        return fail(result_code::backend_answer_malformed, "the answer is not JSON");
    }
    return {};
}

} // namespace tanager
