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
    const std::map<std::string, crash_mode> modes{{"reset", crash_mode::reset},
                                                  {"close", crash_mode::close},
                                                  {"silent", crash_mode::silent},
                                                  {"midway", crash_mode::midway}};
    std::string id;
    crash_options options;
    std::uint32_t run_time_ms = 0;
    CLI::App app{"Stand-in for one backend server that certain requests crash.", "standin-server"};
    app.add_option("--id", id, "id of the server")->required();
    app.add_option("--crash-body",
                   options.body,
                   "beginning of the body, or part of the path, of requests that end the process");
    app.add_option("--crash-part", options.prompt_parts, "id of a prompt part that ends the process");
    app.add_option("--crash-mode", options.mode, "reset, close, silent or midway")
        ->transform(CLI::CheckedTransformer(modes, CLI::ignore_case));
    app.add_option("--crash-after-ms", run_time_ms, "how long the process runs a request that ends it");
    CLI11_PARSE(app, argc, argv);
    options.run_time = std::chrono::milliseconds{run_time_ms};
    const auto loop = init_standin("standin-server");
    crashing_server server(*loop, id, options);
    const auto listener =
        listen_or_exit(*loop, "127.0.0.1:0", [&server](const auto& exchange) { server.serve(exchange); });
    return run_until_terminated(*loop);
}
