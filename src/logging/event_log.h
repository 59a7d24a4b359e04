// Writes numbered events as lines of key=value fields.
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

// Sends events of this process to standard output, from the given level upwards. The rate of each event is
// bounded, and a line that the output would not take at once is counted instead of waited for. `program`
// names the source.
void open_event_log(const std::string& program, log_level lowest);

// Writes one line: time, level, number, name and fields.
void write_event(log_event event, std::initializer_list<log_field> fields);

} // namespace tanager
