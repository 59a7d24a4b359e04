#include "answers/sse_stream_validator.h"

namespace tanager {

namespace {

// Only the beginning of a line matters.
constexpr std::size_t kept_line_bytes = 64;

} // namespace

bool sse_stream_validator::feed(std::string_view data)
{
    for (const char character : data) {
        if (character == '\n') {
            if (!this->finish_line()) {
                return false;
            }
        } else if (this->line.size() < kept_line_bytes) {
            this->line += character;
        }
    }
    return true;
}

bool sse_stream_validator::finish_line()
{
    std::string finished;
    finished.swap(this->line);
    if (!finished.empty() && finished.back() == '\r') {
        finished.pop_back();
    }
    if (finished.empty() || finished.starts_with(":")) {
        return true;
    }
    const bool is_field = finished.starts_with("data:") || finished.starts_with("event:") ||
                          finished.starts_with("id:") || finished.starts_with("retry:");
    if (!is_field || this->saw_done) {
        return false;
    }
    if (finished == "data: [DONE]" || finished == "data:[DONE]") {
        this->saw_done = true;
    } else if (finished.starts_with("data:")) {
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
