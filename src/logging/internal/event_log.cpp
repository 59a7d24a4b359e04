#include "logging/event_log.h"

#include "logging/internal/event_line.h"

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

// Further lines of the event in this second are dropped and counted. An entry finishes about 250 requests in
// its busiest second.
constexpr unsigned max_lines_per_event_per_second = 300;
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

bool is_output_writable()
{
    pollfd output{STDOUT_FILENO, POLLOUT, 0};
    return poll(&output, 1, 0) == 1 && (output.revents & POLLOUT) != 0;
}

// Limits and counts the lines of each event per second.
class line_rate_limiter {
public:
    bool try_acquire(log_event event)
    {
        this->update_window();
        auto& count = this->line_counts[event];
        if (count.written >= max_lines_per_event_per_second || !is_output_writable()) {
            ++count.dropped;
            return false;
        }
        ++count.written;
        return true;
    }

    // Returns the number of dropped lines by event, up to the end of the previous second, and resets it.
    std::map<log_event, unsigned> collect_dropped()
    {
        return std::exchange(this->dropped, {});
    }

private:
    struct event_line_count {
        unsigned written = 0;
        unsigned dropped = 0;
    };

    void update_window()
    {
        const auto second =
            std::chrono::floor<std::chrono::seconds>(std::chrono::steady_clock::now().time_since_epoch());
        if (second == this->window_start) {
            return;
        }
        this->window_start = second;
        for (const auto& [event, count] : this->line_counts) {
            if (count.dropped > 0) {
                this->dropped[event] += count.dropped;
            }
        }
        this->line_counts.clear();
    }

    std::chrono::seconds window_start{0};
    std::map<log_event, event_line_count> line_counts;
    std::map<log_event, unsigned> dropped;
};

line_rate_limiter& current_rate_limiter()
{
    static line_rate_limiter limiter;
    return limiter;
}

void report_dropped()
{
    for (const auto& [event, amount] : current_rate_limiter().collect_dropped()) {
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
    if (!logger->isEnabledFor(level) || !current_rate_limiter().try_acquire(event)) {
        return;
    }
    report_dropped();
    logger->forcedLog(level, format_line(event, fields));
}

} // namespace tanager
