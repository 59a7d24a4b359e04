// What every program has in common: arguments, settings, logs and signals.
#pragma once

#include "base/types/result.h"
#include "logging/types/log_event.h"
#include "net/event_loop.h"
#include "program/types/exit_code.h"
#include "settings/settings_reader.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace tanager {

// A program that has been set up and serves until it has drained.
class server_process {
public:
    server_process() = default;
    server_process(const server_process&) = delete;
    server_process& operator=(const server_process&) = delete;
    server_process(server_process&&) = delete;
    server_process& operator=(server_process&&) = delete;
    virtual ~server_process() = default;

    // Stops taking new work; calls `drained` once the work under way has ended.
    virtual void stop(task drained) = 0;

    // Takes over what it can of settings that were read again. Returns the keys that wait for a restart.
    virtual std::vector<std::string> reload(settings_reader& reader) = 0;
};

// Reads a program's settings; problems stay in the reader.
template <class settings_type>
using settings_loader = std::function<settings_type(settings_reader&)>;

// The arguments that every program takes.
struct program_arguments {
    std::string config_path;
    bool check_config_only = false;

    friend bool operator==(const program_arguments&, const program_arguments&) = default;
};

// Parses the arguments; returns an exit code instead when the program is to end at once.
tl::expected<program_arguments, exit_code>
parse_arguments(const std::string& program, const std::string& purpose, int argc, const char* const* argv);

// Prints each problem of a settings file; returns whether there was any.
bool print_settings_problems(const settings_reader& reader);

// Reads the section that every program has, and opens the log with it.
void open_log_from(settings_reader& reader, const std::string& program);

// Keeps signals until `serve_until_stopped` handles them: a program that is asked to stop while it starts
// must not be ended by the signal's default, since it may have taken requests already.
void block_signals();

// Runs a service until SIGTERM or SIGINT and its graceful stop. The settings file is read again after SIGHUP
// and when it has changed; a file with problems is reported and left out.
exit_code serve_until_stopped(event_loop& loop, server_process& process, const std::string& config_path);

// Ends the process at once, without destroying what other threads may still use.
[[noreturn]] void end_process(exit_code code);

// Reports a failed start and returns its exit code.
exit_code report_failed_start(const error& cause);

// The whole main function of a server program.
template <class settings_type>
exit_code run_program(
    const std::string& name,
    const std::string& purpose,
    int argc,
    const char* const* argv,
    const settings_loader<settings_type>& load,
    const std::function<result<std::unique_ptr<server_process>>(event_loop&, const settings_type&)>& set_up)
{
    block_signals();
    const auto arguments = parse_arguments(name, purpose, argc, argv);
    if (!arguments) {
        return arguments.error();
    }
    auto reader = settings_reader::open(arguments->config_path);
    if (!reader) {
        return report_failed_start(reader.error());
    }
    open_log_from(*reader, name);
    const settings_type settings = load(*reader);
    if (print_settings_problems(*reader)) {
        return exit_code::settings_invalid;
    }
    if (arguments->check_config_only) {
        return exit_code::success;
    }
    auto loop = event_loop::create();
    if (!loop) {
        return report_failed_start(loop.error());
    }
    auto process = set_up(**loop, settings);
    if (!process) {
        return report_failed_start(process.error());
    }
    const exit_code code = serve_until_stopped(**loop, **process, arguments->config_path);
    // gRPC's own threads may still hand their last notices to the loop, so neither is taken down before the
    // process.
    end_process(code);
}

} // namespace tanager
