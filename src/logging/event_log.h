// Writes numbered events as log lines with key=value fields.
#pragma once

#include "logging/types/log_event.h"

#include <initializer_list>
#include <string>
#include <string_view>

namespace tanager {

// One field of an event.
struct log_field {
    std::string_view key;
    std::string value;
};

// Opens the log: events at or above the given level go to standard output. The rate of lines is limited per
// event, and a line that the output cannot accept without blocking is dropped. Dropped lines are counted and
// reported as log_lines_dropped. `program` is the name of the logger.
void open_event_log(const std::string& program, log_level lowest);

// Writes one line with time, level, program, event number, event name and fields.
void write_event(log_event event, std::initializer_list<log_field> fields);

} // namespace tanager
