#include "answers/sse_event_splitter.h"

#include <charconv>
#include <utility>

namespace tanager {

namespace {

constexpr std::string_view id_field = "id:";

// Returns the position after the blank line that ends the first event, searching from `from`, or npos.
std::size_t end_of_event(std::string_view text, std::size_t from)
{
    while (true) {
        const auto line_end = text.find('\n', from);
        if (line_end == std::string_view::npos) {
            return std::string_view::npos;
        }
        const auto after = line_end + 1;
        if (text.substr(after, 1) == "\n") {
            return after + 1;
        }
        if (text.substr(after, 2) == "\r\n") {
            return after + 2;
        }
        from = after;
    }
}

} // namespace

std::string sse_event_splitter::feed(std::string_view data)
{
    // The blank line may span two chunks, so the search starts up to three bytes before the new one.
    const std::size_t overlap_bytes = this->pending.size() < 3 ? this->pending.size() : 3;
    std::size_t from = this->pending.size() - overlap_bytes;
    this->pending += data;
    std::size_t begin = 0;
    for (auto end = end_of_event(this->pending, from); end != std::string_view::npos;
         end = end_of_event(this->pending, from)) {
        this->parse_event(std::string_view{this->pending}.substr(begin, end - begin));
        begin = end;
        from = end;
    }
    std::string complete = this->pending.substr(0, begin);
    this->pending.erase(0, begin);
    return complete;
}

void sse_event_splitter::parse_event(std::string_view event)
{
    ++this->complete_events;
    while (!event.empty()) {
        const auto line = event.substr(0, event.find('\n'));
        event.remove_prefix(line.size() + (line.size() < event.size() ? 1 : 0));
        if (!line.starts_with(id_field)) {
            continue;
        }
        auto digits = line.substr(id_field.size());
        digits.remove_prefix(digits.starts_with(' ') ? 1 : 0);
        std::uint64_t id = 0;
        // An id that is not a number leaves the last id unchanged.
        if (std::from_chars(digits.data(), digits.data() + digits.size(), id).ec == std::errc{}) {
            this->last_id = id;
        }
    }
}

std::string sse_event_splitter::take_incomplete_event()
{
    return std::exchange(this->pending, {});
}

std::optional<std::uint64_t> sse_event_splitter::last_event_id() const
{
    return this->last_id;
}

std::size_t sse_event_splitter::pending_bytes() const
{
    return this->pending.size();
}

std::uint64_t sse_event_splitter::event_count() const
{
    return this->complete_events;
}

} // namespace tanager
