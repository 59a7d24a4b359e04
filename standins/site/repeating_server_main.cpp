// Stand-in for one backend server of the platform that sends some of its responses twice.
#include "logging/event_log.h"
#include "standins/site/repeating_server.h"
#include "standins/support/standin_program.h"

#include <CLI/CLI.hpp>
#include <cstdlib>
#include <iostream>

int main(int argc, char** argv)
{
    using namespace tanager::standin; // NOLINT(google-build-using-namespace)
    repeat_options options;
    int repeat_delay_ms = -1;
    std::uint32_t work_ms = 2;
    bool refuses_without_id = false;
    CLI::App app{"Stand-in for one backend server that sends some of its responses twice.",
                 "standin-repeating-server"};
    app.add_option("--id", options.id, "id of the server")->required();
    app.add_option("--refused-percent", options.refused_percent, "requests that are refused as not run");
    app.add_option("--refusal-status", options.refusal_status, "status of refusals");
    app.add_flag("--refuse-without-id", refuses_without_id, "refusals do not repeat the request's id");
    app.add_option("--failed-percent", options.failed_percent, "requests that run and get a 500");
    app.add_option("--repeated-percent", options.repeated_percent, "refusals and failures sent twice");
    app.add_option("--repeat-delay-ms",
                   repeat_delay_ms,
                   "when the copy is sent; without it, before the next response of the connection");
    app.add_option("--copied-bytes", options.copied_bytes, "bytes of a copy that are sent");
    app.add_flag("--truncate-copies", options.truncates_copies, "only half of a copy is sent");
    app.add_option("--work-ms", work_ms, "run time of a request");
    app.add_option("--seed", options.seed, "seed of the choices");
    CLI11_PARSE(app, argc, argv);
    options.refusals_name_request = !refuses_without_id;
    options.work_time = std::chrono::milliseconds{work_ms};
    if (repeat_delay_ms >= 0) {
        options.repeat_delay = std::chrono::milliseconds{repeat_delay_ms};
    }
    const auto loop = init_standin("standin-repeating-server");
    const auto server = repeating_server::create(*loop, options);
    if (server == nullptr) {
        std::cerr << "cannot listen\n";
        return EXIT_FAILURE;
    }
    tanager::write_event(tanager::log_event::program_listening, {{"http", server->address()}});
    return run_until_terminated(*loop);
}
