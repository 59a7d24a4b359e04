// Tells from log lines what became of one request, and why.
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

// Reads a line; its event is empty when it is none of a program of ours.
log_line parse_log_line(const std::string& text);

// The lines that name a request, and those that changed what its gateways believed of the servers it was sent
// to.
struct request_trace {
    std::vector<log_line> request_lines;
    std::vector<log_line> state_changes; // up to the request's last line

    // Returns one sentence on how the request ended.
    std::string describe_outcome() const;
};

// Reads the logs of any number of gateways, in any order of gateways.
request_trace read_request_trace(std::istream& logs, const std::string& request_id);

// Prints the story; returns whether the request was found.
bool print_request_trace(const request_trace& trace, const std::string& request_id, std::ostream& out);

} // namespace tanager
