#include "apps/tanagerctl/request_trace.h"

#include "logging/types/log_event.h"

#include <algorithm>
#include <array>
#include <istream>
#include <ostream>
#include <set>
#include <sstream>

namespace tanager {

namespace {

// Parses fields of the form `key=value` and `key="some words"`.
void read_fields(std::istream& text, std::map<std::string, std::string>& fields)
{
    std::string word;
    while (text >> word) {
        const auto equals = word.find('=');
        if (equals == std::string::npos) {
            continue;
        }
        auto value = word.substr(equals + 1);
        if (value.starts_with('"') && (value.size() == 1 || !value.ends_with('"'))) {
            std::string rest;
            std::getline(text, rest, '"');
            value += rest + '"';
        }
        std::erase(value, '"');
        fields[word.substr(0, equals)] = value;
    }
}

bool is_number(const std::string& word)
{
    return !word.empty() &&
           std::ranges::all_of(word, [](unsigned char digit) { return digit >= '0' && digit <= '9'; });
}

// Returns whether the event records a change in a gateway's view of its servers, peers, store or
// configuration.
bool is_state_change(const std::string& event)
{
    using enum log_event;
    constexpr std::array state_changes{configuration_applied,
                                       configuration_rejected,
                                       server_listed,
                                       server_unlisted,
                                       server_suspected,
                                       server_trusted,
                                       server_suspended,
                                       server_resumed,
                                       store_unavailable,
                                       store_recovered,
                                       store_history_lost,
                                       peer_silent,
                                       loop_gap};
    return std::ranges::any_of(state_changes,
                               [&](auto state_change) { return name_of(state_change) == event; });
}

std::string describe(const log_line& line)
{
    std::string text = "  " + line.time + "  " + line.gateway + "  " + line.event;
    for (const auto& [name, value] : line.fields) {
        if (name != "request") {
            text.append("  ").append(name).append("=").append(value);
        }
    }
    return text;
}

const log_line* last_of(const std::vector<log_line>& lines, log_event event)
{
    const auto found = std::find_if(
        lines.rbegin(), lines.rend(), [&](const auto& line) { return line.event == name_of(event); });
    return found == lines.rend() ? nullptr : &*found;
}

std::string describe_broken_request(const log_line& broken, const log_line* finished)
{
    const auto waited = finished == nullptr ? std::string{"?"} : finished->field("waited_ms");
    const auto server = broken.field("server");
    if (broken.field("outcome") == "cut") {
        return "its stream was cut off after part of the response had been delivered: " +
               broken.field("cause");
    }
    return "it may have run but has no complete response: " + broken.field("cause") + "; it waited " +
           waited + " ms for a slot" +
           (server.empty() || server == "-" ? "" : " and was then sent to " + server);
}

} // namespace

std::string log_line::field(const std::string& name) const
{
    const auto found = this->fields.find(name);
    return found == this->fields.end() ? std::string{} : found->second;
}

log_line parse_log_line(const std::string& text)
{
    // Skips the words that a log collector may have put before the date.
    std::istringstream words(text);
    std::string word;
    std::vector<std::string> before;
    while (words >> word && !is_number(word)) {
        before.push_back(word);
    }
    log_line line;
    constexpr std::size_t words_before_number = 4; // date, time, level, name
    if (before.size() < words_before_number || !(words >> line.event)) {
        return {};
    }
    line.gateway = before.back();
    line.time = before[before.size() - words_before_number + 1];
    read_fields(words, line.fields);
    return line;
}

request_trace read_request_trace(std::istream& logs, const std::string& request_id)
{
    request_trace trace;
    std::vector<log_line> state_changes;
    std::string text;
    while (std::getline(logs, text)) {
        auto line = parse_log_line(text);
        if (line.event.empty()) {
            continue;
        }
        if (line.field("request") == request_id) {
            trace.request_lines.push_back(std::move(line));
        } else if (is_state_change(line.event)) {
            state_changes.push_back(std::move(line));
        }
    }
    std::ranges::stable_sort(trace.request_lines, {}, &log_line::time);
    std::set<std::string> servers;
    std::set<std::string> gateways;
    for (const auto& line : trace.request_lines) {
        servers.insert(line.field("server"));
        servers.insert(line.field("reader"));
        gateways.insert(line.gateway);
    }
    std::ranges::stable_sort(state_changes, {}, &log_line::time);
    for (auto& line : state_changes) {
        const auto server = line.field("server");
        const bool is_relevant = server.empty() || server == "all" || servers.contains(server);
        if (!trace.request_lines.empty() && gateways.contains(line.gateway) && is_relevant &&
            line.time <= trace.request_lines.back().time) {
            trace.state_changes.push_back(std::move(line));
        }
    }
    return trace;
}

std::string request_trace::describe_outcome() const
{
    const auto* const finished = last_of(this->request_lines, log_event::request_finished);
    if (const auto* const broken = last_of(this->request_lines, log_event::request_broken)) {
        return describe_broken_request(*broken, finished);
    }
    if (const auto* const rejected = last_of(this->request_lines, log_event::request_rejected)) {
        return "it was rejected and has not run: " + rejected->field("cause") +
               "; the caller was told to retry after " + rejected->field("retry_after_ms") + " ms";
    }
    if (last_of(this->request_lines, log_event::request_abandoned) != nullptr) {
        return "its caller disconnected before the response was complete";
    }
    if (finished != nullptr) {
        return "its response had status " + finished->field("status") + ", the first event after " +
               finished->field("first_ms") + " ms, and was complete after " + finished->field("total_ms") +
               " ms";
    }
    return "these lines do not show how it ended";
}

bool print_request_trace(const request_trace& trace, const std::string& request_id, std::ostream& out)
{
    if (trace.request_lines.empty()) {
        out << "no log line names request " << request_id << '\n';
        return false;
    }
    constexpr std::size_t max_shown_state_changes = 12;
    out << "request " << request_id << ": " << trace.describe_outcome() << "\n\nlog lines of the request:\n";
    for (const auto& line : trace.request_lines) {
        out << describe(line) << '\n';
    }
    out << "\nearlier state changes of its gateways (the newest " << max_shown_state_changes << "):\n";
    const auto skipped =
        trace.state_changes.size() - std::min(trace.state_changes.size(), max_shown_state_changes);
    for (auto line = trace.state_changes.begin() + static_cast<std::ptrdiff_t>(skipped);
         line != trace.state_changes.end();
         ++line) {
        out << describe(*line) << '\n';
    }
    return true;
}

} // namespace tanager
