#include "standins/support/standin_program.h"

#include "logging/event_log.h"

#include <csignal>
#include <cstdlib>
#include <iostream>

namespace tanager::standin {

namespace {

constexpr std::size_t max_body_bytes = std::size_t{64} * 1024 * 1024;
constexpr int max_descriptors = 20'000;

[[noreturn]] void exit_with(const error& cause)
{
    std::cerr << cause.detail << '\n';
    std::exit(EXIT_FAILURE); // NOLINT(concurrency-mt-unsafe)
}

} // namespace

std::unique_ptr<event_loop> init_standin(const std::string& name)
{
    open_event_log(name, log_level::info);
    auto loop = event_loop::create();
    if (!loop) {
        exit_with(loop.error());
    }
    return std::move(*loop);
}

std::unique_ptr<http_server>
listen_or_exit(event_loop& loop, const std::string& address, http_server::handler serve)
{
    http_server_limits limits;
    limits.max_body_bytes = max_body_bytes;
    limits.max_descriptors = max_descriptors;
    auto server = http_server::create(loop, address, limits, std::move(serve));
    if (!server) {
        exit_with(server.error());
    }
    write_event(log_event::program_listening, {{"http", (*server)->address()}});
    return std::move(*server);
}

int run_until_terminated(event_loop& loop)
{
    const auto on_terminate = loop.run_on_signal(SIGTERM, [&loop] { loop.stop(); });
    const auto on_interrupt = loop.run_on_signal(SIGINT, [&loop] { loop.stop(); });
    loop.run();
    return 0;
}

} // namespace tanager::standin
