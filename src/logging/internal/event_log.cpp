#include "logging/event_log.h"

#include <array>
#include <chrono>
#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>
#include <map>
#include <poll.h>
#include <unistd.h>
#include <utility>

namespace tanager {

namespace {

// Lines of one event a second; what lies beyond is counted. An entry at its busiest second ends about 250
// requests.
constexpr unsigned lines_per_second = 300;
// A pipe that polls as writable takes this much without blocking (PIPE_BUF).
constexpr std::size_t longest_line = 3'800;

log4cxx::LoggerPtr& current_logger()
{
    static log4cxx::LoggerPtr logger = log4cxx::Logger::getLogger("tanager");
    return logger;
}

log4cxx::LevelPtr to_native(log_level level)
{
    switch (level) {
    case log_level::debug:
        return log4cxx::Level::getDebug();
    case log_level::info:
        return log4cxx::Level::getInfo();
    case log_level::warning:
        return log4cxx::Level::getWarn();
    case log_level::error:
        return log4cxx::Level::getError();
    }
    return log4cxx::Level::getError();
}

bool needs_quotes(std::string_view value)
{
    return value.empty() || value.find_first_of(" \"=\n\r\t") != std::string_view::npos;
}

void append_value(std::string& line, std::string_view value)
{
    if (!needs_quotes(value)) {
        line += value;
        return;
    }
    line += '"';
    for (const char character : value) {
        if (character == '"' || character == '\\') {
            line += '\\';
        }
        const bool is_control = static_cast<unsigned char>(character) < ' ';
        line += is_control ? ' ' : character;
    }
    line += '"';
}

std::string format_line(log_event event, std::initializer_list<log_field> fields)
{
    std::string line = std::to_string(static_cast<int>(event));
    line += ' ';
    line += name_of(event);
    for (const auto& field : fields) {
        line += ' ';
        line += field.key;
        line += '=';
        append_value(line, field.value);
    }
    if (line.size() > longest_line) {
        line.resize(longest_line);
    }
    return line;
}

bool output_takes_a_line()
{
    pollfd output{STDOUT_FILENO, POLLOUT, 0};
    return poll(&output, 1, 0) == 1 && (output.revents & POLLOUT) != 0;
}

// Counts each event's lines in the running second.
class line_budget {
public:
    bool take(log_event event)
    {
        this->begin_second();
        auto& row = this->rows[event];
        if (row.written >= lines_per_second || !output_takes_a_line()) {
            ++row.dropped;
            return false;
        }
        ++row.written;
        return true;
    }

    // Returns the events that lost lines and how many, once.
    std::map<log_event, unsigned> collect_dropped()
    {
        return std::exchange(this->dropped, {});
    }

private:
    struct event_count {
        unsigned written = 0;
        unsigned dropped = 0;
    };

    void begin_second()
    {
        const auto second =
            std::chrono::floor<std::chrono::seconds>(std::chrono::steady_clock::now().time_since_epoch());
        if (second == this->current) {
            return;
        }
        this->current = second;
        for (const auto& [event, row] : this->rows) {
            if (row.dropped > 0) {
                this->dropped[event] += row.dropped;
            }
        }
        this->rows.clear();
    }

    std::chrono::seconds current{0};
    std::map<log_event, event_count> rows;
    std::map<log_event, unsigned> dropped;
};

line_budget& current_budget()
{
    static line_budget budget;
    return budget;
}

void report_dropped()
{
    for (const auto& [event, amount] : current_budget().collect_dropped()) {
        current_logger()->forcedLog(
            to_native(level_of(log_event::log_lines_dropped)),
            format_line(log_event::log_lines_dropped,
                        {{"event", std::string{name_of(event)}}, {"lines", std::to_string(amount)}}));
    }
}

} // namespace

void open_event_log(const std::string& program, log_level lowest)
{
    const auto layout = std::make_shared<log4cxx::PatternLayout>("%d{ISO8601} %-5p %c %m%n");
    const auto appender =
        std::make_shared<log4cxx::ConsoleAppender>(layout, log4cxx::ConsoleAppender::getSystemOut());
    const auto root = log4cxx::Logger::getRootLogger();
    root->removeAllAppenders();
    root->addAppender(appender);
    root->setLevel(to_native(lowest));
    current_logger() = log4cxx::Logger::getLogger(program);
}

void write_event(log_event event, std::initializer_list<log_field> fields)
{
    const auto level = to_native(level_of(event));
    const auto& logger = current_logger();
    if (!logger->isEnabledFor(level) || !current_budget().take(event)) {
        return;
    }
    report_dropped();
    logger->forcedLog(level, format_line(event, fields));
}

} // namespace tanager
