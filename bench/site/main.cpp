// Runs many agents or many entries in one process, as peers of the single separate process that a benchmark
// measures.
#include "agent/agent_setup.h"
#include "entry/entry_setup.h"
#include "logging/event_log.h"

#include <CLI/CLI.hpp>
#include <csignal>
#include <iostream>

namespace {

using tanager::event_loop;
using tanager::server_process;

tanager::agent_settings make_agent(const std::string& prefix, std::size_t index)
{
    tanager::agent_settings settings;
    settings.host = prefix + std::to_string(index);
    settings.data_centre = "d";
    settings.grpc_listen = "127.0.0.1:0";
    settings.http_listen = "127.0.0.1:0";
    settings.backend_address = "127.0.0.1:1";
    settings.capacity_pieces = 64;                  // NOLINT(*-magic-numbers)
    settings.max_control_bytes_per_second = 15'000; // NOLINT(*-magic-numbers)
    return settings;
}

tanager::entry_settings make_entry(const std::string& prefix, std::size_t index, const std::string& platform)
{
    tanager::entry_settings settings;
    settings.host = prefix + std::to_string(index);
    settings.data_centre = "d";
    settings.region = "r";
    settings.listen_address = "127.0.0.1:0";
    settings.platform_address = platform;
    return settings;
}

} // namespace

int main(int argc, char** argv)
{
    std::size_t agents = 0;
    std::size_t entries = 0;
    std::string platform;
    CLI::App app{"Runs many agents or entries as peers for a benchmark.", "bench-site"};
    app.add_option("--agents", agents);
    app.add_option("--entries", entries);
    app.add_option("--platform", platform, "ip:port of the platform, for entries");
    CLI11_PARSE(app, argc, argv);
    tanager::open_event_log("bench-site", tanager::log_level::info);
    auto loop = event_loop::create();
    if (!loop) {
        return EXIT_FAILURE;
    }
    std::vector<std::unique_ptr<server_process>> processes;
    for (std::size_t i = 0; i < agents; ++i) {
        auto agent = tanager::create_agent(**loop, make_agent("peer-agent-", i));
        if (!agent) {
            std::cerr << agent.error().detail << '\n';
            return EXIT_FAILURE;
        }
        processes.push_back(std::move(*agent));
    }
    for (std::size_t i = 0; i < entries; ++i) {
        auto entry = tanager::create_entry(**loop, make_entry("peer-entry-", i, platform));
        if (!entry) {
            std::cerr << entry.error().detail << '\n';
            return EXIT_FAILURE;
        }
        processes.push_back(std::move(*entry));
    }
    const auto on_terminate = (*loop)->run_on_signal(SIGTERM, [] { std::_Exit(EXIT_SUCCESS); });
    (*loop)->run();
    return 0;
}
