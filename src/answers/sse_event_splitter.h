// Cuts a stream of server-sent events between its events.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace tanager {

// Fed with a stream in any cuts. Only whole events come out, so that a stream whose server breaks off in the
// middle of an event can go on at another one.
class sse_event_splitter {
public:
    // Returns the whole events that are now complete.
    std::string feed(std::string_view data);

    // Returns the bytes after the last whole event.
    std::string take_incomplete_event();

    // Returns the id of the last whole event, where events carry numbers.
    std::optional<std::uint64_t> last_event_id() const;

    // Returns how much of an event that is not whole yet has come.
    std::size_t pending_bytes() const;

    // Returns how many whole events have come out.
    std::uint64_t event_count() const;

private:
    void parse_event(std::string_view event);

    std::string pending;
    std::optional<std::uint64_t> last_id;
    std::uint64_t complete_events = 0;
};

} // namespace tanager
