// The command line tool for operators.
#include "apps/tanagerctl/catalogue_commands.h"
#include "apps/tanagerctl/object_file.h"
#include "apps/tanagerctl/request_trace.h"
#include "base/digest.h"
#include "base/types/result_code.h"
#include "program/program_runner.h"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <cctype>
#include <iostream>

namespace {

using tanager::exit_code;

// The options and arguments given on the command line.
struct command_line_options {
    std::string platform;
    std::string config_path;
    bool check_only = false;
    std::vector<std::string> files;
    std::string name;
    std::uint64_t expected_version = 0;
};

// Reads the settings file; options on the command line take precedence. Prints every problem and returns
// whether there was none.
bool read_config(command_line_options& options)
{
    auto reader = tanager::settings_reader::open(options.config_path);
    if (!reader) {
        std::cerr << reader.error().detail << '\n';
        return false;
    }
    const std::string address = reader->read_address({"platform", "address"}, options.platform);
    options.platform = options.platform.empty() ? address : options.platform;
    return !tanager::print_settings_problems(*reader);
}

exit_code check_files(const std::vector<std::string>& paths)
{
    exit_code outcome = exit_code::success;
    for (const auto& path : paths) {
        const auto file = tanager::read_object_file(path);
        if (file) {
            std::cout << path << ": " << file->object_name << " is valid\n";
            continue;
        }
        std::cerr << file.error().detail << '\n';
        outcome = exit_code::usage;
    }
    return outcome;
}

// Explains how a request ended, from the log lines on standard input.
exit_code explain_request(const std::string& id)
{
    const auto trace = tanager::read_request_trace(std::cin, id);
    return tanager::print_request_trace(trace, id, std::cout) ? exit_code::success : exit_code::usage;
}

exit_code explain_code(int number)
{
    const auto code = static_cast<tanager::result_code>(number);
    if (tanager::name_of(code) == "unlisted") {
        std::cerr << "no result code has the number " << number << '\n';
        return exit_code::usage;
    }
    std::cout << number << ' ' << tanager::name_of(code) << ", HTTP status " << tanager::http_status_of(code)
              << '\n';
    return exit_code::success;
}

exit_code explain(const std::string& what)
{
    constexpr std::size_t code_digits = 3;
    const bool is_code = what.size() == code_digits && std::ranges::all_of(what, [](unsigned char digit) {
                             return std::isdigit(digit) != 0;
                         });
    return is_code ? explain_code(std::stoi(what)) : explain_request(what);
}

exit_code run_on_store(const CLI::App& app, const command_line_options& options, bool has_expected_version)
{
    auto store = tanager::blocking_object_store::create(options.platform);
    if (!store) {
        std::cerr << store.error().detail << '\n';
        return exit_code::usage;
    }
    tanager::catalogue_commands commands(**store, std::cout, std::cerr);
    if (app.got_subcommand("apply")) {
        return commands.apply(options.files,
                              has_expected_version ? std::optional{options.expected_version} : std::nullopt);
    }
    if (app.got_subcommand("diff")) {
        return commands.diff(options.files);
    }
    if (app.got_subcommand("get")) {
        return commands.get(options.name);
    }
    if (app.got_subcommand("remove")) {
        return commands.remove(options.name);
    }
    if (app.got_subcommand("drain") || app.got_subcommand("undrain")) {
        return commands.set_draining(options.name, app.got_subcommand("drain"));
    }
    return commands.list();
}

} // namespace

int main(int argc, char** argv)
{
    command_line_options options;
    CLI::App app{"Edits the catalogue, and explains result codes and requests.", "tanagerctl"};
    app.set_version_flag("--version", "tanagerctl 0.1.0");
    app.add_option("--platform", options.platform, "address of the object API, ip:port");
    app.add_option("--config", options.config_path, "INI file with [platform] address");
    app.add_flag("--check-config", options.check_only, "check the INI file and exit");
    auto* const apply = app.add_subcommand("apply", "write entries from files <kind>/<name>.json");
    apply->add_option("files", options.files)->required();
    auto* const expect_option =
        apply->add_option("--expect",
                          options.expected_version,
                          "write only if this is the current version; 0: only if the entry is new");
    app.add_subcommand("diff", "show what apply would change")
        ->add_option("files", options.files)
        ->required();
    app.add_subcommand("check", "check files without writing")
        ->add_option("files", options.files)
        ->required();
    app.add_subcommand("get", "print one entry")
        ->add_option("name", options.name, "<kind>/<name>")
        ->required();
    app.add_subcommand("list", "print all entries and their versions");
    app.add_subcommand("remove", "remove one entry")
        ->add_option("name", options.name, "<kind>/<name>")
        ->required();
    app.add_subcommand("drain", "stop new work on a host")->add_option("host", options.name)->required();
    app.add_subcommand("undrain", "allow new work on a drained host again")
        ->add_option("host", options.name)
        ->required();
    app.add_subcommand("digest", "print the digest of a caller's key")
        ->add_option("key", options.name)
        ->required();
    app.add_subcommand(
           "explain",
           "explain a result code, or read logs from standard input and explain how a request ended")
        ->add_option("what", options.name, "a result code of three digits, or a request's id")
        ->required();
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& failure) {
        return app.exit(failure) == 0 ? 0 : static_cast<int>(exit_code::usage);
    }
    if (!options.config_path.empty() && !read_config(options)) {
        return static_cast<int>(exit_code::settings_invalid);
    }
    if (options.check_only) {
        return 0;
    }
    if (app.get_subcommands().empty()) {
        std::cerr << app.help();
        return static_cast<int>(exit_code::usage);
    }
    if (app.got_subcommand("check")) {
        return static_cast<int>(check_files(options.files));
    }
    if (app.got_subcommand("digest")) {
        std::cout << tanager::sha256_hex(options.name) << '\n';
        return 0;
    }
    if (app.got_subcommand("explain")) {
        return static_cast<int>(explain(options.name));
    }
    return static_cast<int>(run_on_store(app, options, expect_option->count() > 0));
}
