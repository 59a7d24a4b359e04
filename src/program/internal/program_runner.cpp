#include "program/program_runner.h"

#include "logging/event_log.h"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <exception>
#include <fstream>
#include <iostream>
#include <iterator>

namespace tanager {

namespace {

// Interval at which the settings file is checked for changes when no SIGHUP arrives.
constexpr std::chrono::seconds settings_check_interval{2};

constexpr const char* product_version = "0.1.0";

log_level parse_level(const std::string& name)
{
    if (name == "debug") {
        return log_level::debug;
    }
    if (name == "warning") {
        return log_level::warning;
    }
    return name == "error" ? log_level::error : log_level::info;
}

// Reloads the settings file on request or after its content has changed.
class settings_reloader {
public:
    settings_reloader(server_process& process, std::string path)
        : process(process), path(std::move(path)), last_text(this->read_text())
    {
    }

    void reload_if_changed()
    {
        if (this->read_text() != this->last_text) {
            this->reload("change");
        }
    }

    void reload(const std::string& cause)
    {
        this->last_text = this->read_text();
        auto reader = settings_reader::parse(this->path, this->last_text);
        // The log settings take effect only at a restart. They are read here so that the reader does not
        // report them as unknown keys.
        static_cast<void>(reader.read_text({"log", "level"}, {}));
        static_cast<void>(reader.read_text({"log", "name"}, {}));
        const auto restart_keys = this->process.reload(reader);
        std::string keys;
        for (const auto& key : restart_keys) {
            keys += (keys.empty() ? "" : ",") + key;
        }
        const auto problems = reader.problems();
        write_event(log_event::settings_reloaded,
                    {{"cause", cause},
                     {"outcome", problems.empty() ? "read" : to_text(problems.front())},
                     {"wait_for_restart", keys}});
    }

private:
    std::string read_text() const
    {
        std::ifstream file(this->path);
        return {std::istreambuf_iterator<char>(file), {}};
    }

    server_process& process;
    std::string path;
    std::string last_text;
};

sigset_t handled_signals()
{
    sigset_t handled;
    sigemptyset(&handled);
    sigaddset(&handled, SIGTERM);
    sigaddset(&handled, SIGINT);
    sigaddset(&handled, SIGHUP);
    return handled;
}

} // namespace

tl::expected<program_arguments, exit_code>
parse_arguments(const std::string& program, const std::string& purpose, int argc, const char* const* argv)
{
    program_arguments arguments;
    CLI::App parser{purpose, program};
    parser.set_version_flag("--version", program + " " + product_version);
    parser.add_option("--config", arguments.config_path, "INI settings file")->required();
    parser.add_flag("--check-config", arguments.check_config_only, "check the settings file and exit");
    try {
        parser.parse(argc, argv);
    } catch (const CLI::ParseError& failure) {
        const int status = parser.exit(failure);
        return tl::make_unexpected(status == 0 ? exit_code::success : exit_code::usage);
    }
    return arguments;
}

bool print_settings_problems(const settings_reader& reader)
{
    const auto problems = reader.problems();
    for (const auto& problem : problems) {
        std::cerr << to_text(problem) << '\n';
    }
    return !problems.empty();
}

bool is_start_prevented(const settings_reader& reader, settings_policy policy)
{
    return std::ranges::any_of(reader.problems(), [policy](const auto& problem) {
        return policy == settings_policy::reject_any || problem.is_fatal;
    });
}

void log_settings_problems(const settings_reader& reader)
{
    for (const auto& problem : reader.problems()) {
        write_event(log_event::settings_defaulted, {{"detail", to_text(problem)}});
    }
}

void open_log_from(settings_reader& reader, const std::string& program)
{
    const auto level = reader.read_choice({"log", "level"}, "info", {"debug", "info", "warning", "error"});
    const auto name = reader.read_text({"log", "name"}, program);
    open_event_log(name, parse_level(level));
}

void block_signals()
{
    const auto handled = handled_signals();
    pthread_sigmask(SIG_BLOCK, &handled, nullptr);
}

exit_code serve_until_stopped(event_loop& loop, server_process& process, const std::string& config_path)
{
    settings_reloader settings(process, config_path);
    bool is_stopping = false;
    const auto begin_stop = [&] {
        if (is_stopping) {
            return;
        }
        is_stopping = true;
        write_event(log_event::stop_requested, {});
        process.stop([&loop] { loop.stop(); });
    };
    const auto on_terminate = loop.run_on_signal(SIGTERM, begin_stop);
    const auto on_interrupt = loop.run_on_signal(SIGINT, begin_stop);
    const auto on_hangup = loop.run_on_signal(SIGHUP, [&] { settings.reload("signal"); });
    const auto handled = handled_signals();
    pthread_sigmask(SIG_UNBLOCK, &handled, nullptr);
    const auto on_check = loop.run_every(settings_check_interval, [&] { settings.reload_if_changed(); });
    write_event(log_event::program_started, {{"version", product_version}});
    loop.run();
    write_event(log_event::program_stopped, {});
    return exit_code::success;
}

void end_process(exit_code code)
{
    std::cout.flush();
    std::cerr.flush();
    std::_Exit(static_cast<int>(code));
}

void log_unhandled_exceptions()
{
    std::set_terminate([] {
        std::string detail = "terminated without an exception";
        try {
            if (const auto unhandled = std::current_exception()) {
                std::rethrow_exception(unhandled);
            }
        } catch (const std::exception& failure) {
            detail = failure.what();
        } catch (...) {
            detail = "not a std::exception";
        }
        write_event(log_event::program_failed, {{"code", "0"}, {"detail", "unhandled: " + detail}});
        std::abort();
    });
}

exit_code report_failed_start(const error& cause)
{
    write_event(log_event::program_failed,
                {{"code", std::to_string(static_cast<int>(cause.code))}, {"detail", cause.detail}});
    std::cerr << cause.detail << '\n';
    return exit_code::start_failed;
}

} // namespace tanager
