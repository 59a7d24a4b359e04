// Checks whether a stream of server-sent events is well formed and complete.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace tanager {

// Takes the bytes of a completion stream in chunks of any size. The stream is complete when its last event
// is `[DONE]`.
class sse_stream_validator {
public:
    // Returns false at the first line that is not valid in a completion stream.
    bool feed(std::string_view data);

    bool is_complete() const;

    // Returns the number of `data:` lines, without the closing `[DONE]`.
    std::uint64_t events() const;

private:
    bool finish_line();

    std::string line;
    bool saw_done = false;
    std::uint64_t event_count = 0;
};

} // namespace tanager
