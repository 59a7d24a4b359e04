// Determines from log lines how one request ended, and why.
#pragma once

#include <iosfwd>
#include <map>
#include <string>
#include <vector>

namespace tanager {

// One line of a gateway's log.
struct log_line {
    std::string time;
    std::string gateway;
    std::string event;
    std::map<std::string, std::string> fields;

    // Returns a field's value; empty when the line has none.
    std::string field(const std::string& name) const;

    friend bool operator==(const log_line&, const log_line&) = default;
};

// Parses a line. `event` is empty when the line was not written by one of this project's programs.
log_line parse_log_line(const std::string& text);

// The log lines that name a request, and the state changes of the gateways that handled it which concern its
// servers, all servers or the configuration.
struct request_trace {
    std::vector<log_line> request_lines;
    std::vector<log_line> state_changes; // up to the time of the request's last line

    // Returns one sentence on how the request ended, and why if the lines show it.
    std::string describe_outcome() const;
};

// Reads the concatenated logs of any number of gateways, in any order.
request_trace read_request_trace(std::istream& logs, const std::string& request_id);

// Prints the trace; returns whether the request was found.
bool print_request_trace(const request_trace& trace, const std::string& request_id, std::ostream& out);

} // namespace tanager
