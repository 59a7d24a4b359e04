// Common start, settings reload and shutdown of the programs: arguments, settings, logs and signals.
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

// A server program after its setup; it serves until it has drained.
class server_process {
public:
    server_process() = default;
    server_process(const server_process&) = delete;
    server_process& operator=(const server_process&) = delete;
    server_process(server_process&&) = delete;
    server_process& operator=(server_process&&) = delete;
    virtual ~server_process() = default;

    // Stops accepting new work and calls `drained` when all work in progress has ended.
    virtual void stop(task drained) = 0;

    // Applies reloaded settings as far as possible at run time. Returns the keys that need a restart.
    virtual std::vector<std::string> reload(settings_reader& reader) = 0;
};

// Reads a program's settings. Problems are collected in the reader.
template <class settings_type>
using settings_loader = std::function<settings_type(settings_reader&)>;

// Command-line arguments common to all programs.
struct program_arguments {
    std::string config_path;
    bool check_config_only = false;

    friend bool operator==(const program_arguments&, const program_arguments&) = default;
};

// Parses the command line. Returns an exit code instead if the program must exit: after a usage error, or
// successfully after options such as --version.
tl::expected<program_arguments, exit_code>
parse_arguments(const std::string& program, const std::string& purpose, int argc, const char* const* argv);

// Which problems of its settings file keep a program from starting.
enum class settings_policy {
    reject_any,  // any problem
    reject_fatal // those without a default to run with; the others are logged
};

// Prints the problems of a settings file to standard error. Returns whether there were any.
bool print_settings_problems(const settings_reader& reader);

// Returns whether the problems of a settings file keep a program from starting.
bool is_start_prevented(const settings_reader& reader, settings_policy policy);

// Writes the problems of a settings file to the log.
void log_settings_problems(const settings_reader& reader);

// Reads the section [log], which every program has, and opens the event log with it.
void open_log_from(settings_reader& reader, const std::string& program);

// Blocks SIGTERM, SIGINT and SIGHUP until `serve_until_stopped` handles them. The default action of a signal
// would otherwise end the process during its start, when it may already have accepted requests.
void block_signals();

// Runs a server until SIGTERM or SIGINT has been received and its graceful stop has ended. Reloads the
// settings file after SIGHUP and when its content has changed; one with problems is logged, not applied.
exit_code serve_until_stopped(event_loop& loop, server_process& process, const std::string& config_path);

// Flushes the standard streams and exits without destroying objects that other threads may still use.
[[noreturn]] void end_process(exit_code code);

// Makes an exception that nothing handles write its text to the log before it ends the process.
void log_unhandled_exceptions();

// Writes a failed start to the log and to standard error. Returns the exit code.
exit_code report_failed_start(const error& cause);

// The main function of a server program: loads the settings, sets up the program and serves until stopped.
template <class settings_type>
exit_code run_program(
    const std::string& name,
    const std::string& purpose,
    int argc,
    const char* const* argv,
    const settings_loader<settings_type>& load,
    const std::function<result<std::unique_ptr<server_process>>(event_loop&, const settings_type&)>& set_up,
    settings_policy policy = settings_policy::reject_any)
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
    log_unhandled_exceptions();
    const settings_type settings = load(*reader);
    const bool has_problems = print_settings_problems(*reader);
    if (arguments->check_config_only) {
        return has_problems ? exit_code::settings_invalid : exit_code::success;
    }
    if (is_start_prevented(*reader, policy)) {
        return exit_code::settings_invalid;
    }
    log_settings_problems(*reader);
    auto loop = event_loop::create();
    if (!loop) {
        return report_failed_start(loop.error());
    }
    auto process = set_up(**loop, settings);
    if (!process) {
        return report_failed_start(process.error());
    }
    const exit_code code = serve_until_stopped(**loop, **process, arguments->config_path);
    // gRPC's threads may still post their last callbacks to the loop, so neither is destroyed before the
    // process exits.
    end_process(code);
}

} // namespace tanager
