// Splits a stream of server-sent events at event boundaries.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace tanager {

// Takes a stream in chunks of any size. Returns only complete events, so that a stream whose server fails in
// the middle of an event can continue on another server.
class sse_event_splitter {
public:
    // Adds a chunk. Returns the events that it completes.
    std::string feed(std::string_view data);

    // Removes and returns the bytes after the last complete event.
    std::string take_incomplete_event();

    // Returns the last numeric id among the complete events, or nothing if there was none.
    std::optional<std::uint64_t> last_event_id() const;

    // Returns the number of bytes after the last complete event.
    std::size_t pending_bytes() const;

    // Returns the number of complete events so far.
    std::uint64_t event_count() const;

private:
    void parse_event(std::string_view event);

    std::string pending;
    std::optional<std::uint64_t> last_id;
    std::uint64_t complete_events = 0;
};

} // namespace tanager
