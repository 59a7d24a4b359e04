// Formats one event as a line of the log.
#pragma once

#include "logging/event_log.h"

#include <initializer_list>
#include <string>

namespace tanager {

// A pipe that polls as writable accepts this much without blocking (PIPE_BUF is 4,096 bytes).
inline constexpr std::size_t max_line_bytes = 3'800;
// Some fields of a line may hold texts of others; those behind them still find room.
inline constexpr std::size_t max_value_bytes = 1'000;

// Returns number, name and fields of an event. The line is printable ASCII: other bytes of a value are
// written as `\xNN`. A value or line that is too long is cut off, the value with `...` at its end.
std::string format_line(log_event event, std::initializer_list<log_field> fields);

} // namespace tanager
