#include "answers/sse_stream_validator.h"

namespace tanager {

namespace {

// The checks need only the beginning of a line.
constexpr std::size_t max_kept_line_bytes = 64;

} // namespace

bool sse_stream_validator::feed(std::string_view data)
{
    for (const char character : data) {
        if (character == '\n') {
            if (!this->finish_line()) {
                return false;
            }
        } else if (this->line.size() < max_kept_line_bytes) {
            this->line += character;
        }
    }
    return true;
}

bool sse_stream_validator::finish_line()
{
    std::string complete_line;
    complete_line.swap(this->line);
    if (!complete_line.empty() && complete_line.back() == '\r') {
        complete_line.pop_back();
    }
    if (complete_line.empty() || complete_line.starts_with(":")) {
        return true;
    }
    const bool is_field = complete_line.starts_with("data:") || complete_line.starts_with("event:") ||
                          complete_line.starts_with("id:") || complete_line.starts_with("retry:");
    if (!is_field || this->saw_done) {
        return false;
    }
    if (complete_line == "data: [DONE]" || complete_line == "data:[DONE]") {
        this->saw_done = true;
    } else if (complete_line.starts_with("data:")) {
        ++this->event_count;
    }
    return true;
}

bool sse_stream_validator::is_complete() const
{
    return this->saw_done && this->line.empty();
}

std::uint64_t sse_stream_validator::events() const
{
    return this->event_count;
}

} // namespace tanager
