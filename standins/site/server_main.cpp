// Stand-in for one backend server of the platform, which certain requests crash.
#include "logging/event_log.h"
#include "standins/site/crashing_server.h"
#include "standins/support/standin_program.h"

#include <CLI/CLI.hpp>
#include <map>
#include <vector>

int main(int argc, char** argv)
{
    using namespace tanager::standin; // NOLINT(google-build-using-namespace)
    const std::map<std::string, crash_mode> modes{
        {"reset", crash_mode::reset}, {"close", crash_mode::close}, {"silent", crash_mode::silent}};
    std::string id;
    std::string crash_body = "crash";
    std::vector<std::string> crash_parts;
    crash_mode mode = crash_mode::reset;
    CLI::App app{"Stand-in for one backend server that certain requests crash.", "standin-server"};
    app.add_option("--id", id, "id of the server")->required();
    app.add_option(
        "--crash-body", crash_body, "body, or part of the path, of a request that ends the process");
    app.add_option("--crash-part", crash_parts, "id of a prompt part that ends the process");
    app.add_option("--crash-mode", mode, "reset, close or silent")
        ->transform(CLI::CheckedTransformer(modes, CLI::ignore_case));
    CLI11_PARSE(app, argc, argv);
    const auto loop = init_standin("standin-server");
    crashing_server server(*loop, id, crash_body, crash_parts, mode);
    const auto listener =
        listen_or_exit(*loop, "127.0.0.1:0", [&server](const auto& exchange) { server.serve(exchange); });
    return run_until_terminated(*loop);
}
