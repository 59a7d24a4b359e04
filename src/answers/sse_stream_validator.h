// Tells whether a stream of server-sent events came to its proper end.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace tanager {

// Fed with the bytes of a completion stream, in any cuts. The stream is whole when its last event is
// `[DONE]`.
class sse_stream_validator {
public:
    // Returns false at the first line that no completion stream may hold.
    bool feed(std::string_view data);

    bool is_complete() const;

    // Returns the data events seen, the closing one left out.
    std::uint64_t events() const;

private:
    bool finish_line();

    std::string line;
    bool saw_done = false;
    std::uint64_t event_count = 0;
};

} // namespace tanager
