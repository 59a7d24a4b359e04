// Stand-in for a model engine.
#include "standins/engine/engine.h"
#include "standins/support/standin_program.h"

#include <CLI/CLI.hpp>

int main(int argc, char** argv)
{
    using namespace tanager::standin; // NOLINT(google-build-using-namespace)
    std::string listen = "127.0.0.1:0";
    engine_options options;
    auto token_microseconds = static_cast<std::uint64_t>(options.token_interval.count());
    CLI::App app{"Stand-in for a model engine.", "standin-engine"};
    app.add_option("--listen", listen, "ip:port; port 0 selects a free port");
    app.add_option("--slots", options.max_batch_size, "maximum batch size in requests");
    app.add_option("--prefill-tokens-per-second", options.prefill_tokens_per_second);
    app.add_option("--token-microseconds", token_microseconds, "time between two tokens in microseconds");
    app.add_flag(
        "--crash-on-marker", options.crash_on_marker, "prompts that contain CRASH-ENGINE crash the process");
    CLI11_PARSE(app, argc, argv);
    options.token_interval = std::chrono::microseconds{token_microseconds};
    const auto loop = init_standin("standin-engine");
    engine model_engine(*loop, options);
    const auto server =
        listen_or_exit(*loop, listen, [&](const std::shared_ptr<tanager::http_exchange>& exchange) {
            model_engine.serve(exchange);
        });
    return run_until_terminated(*loop);
}
