// Sends open-loop load to one or more addresses at the same time and prints the latencies of each.
#include "base/system_clock.h"
#include "bench/load/load_generator.h"
#include "logging/event_log.h"

#include <CLI/CLI.hpp>
#include <iostream>
#include <nlohmann/json.hpp>

int main(int argc, char** argv)
{
    std::vector<std::string> targets;
    std::string key;
    std::string model = "swatch-check";
    std::uint32_t tokens = 8;         // NOLINT(*-magic-numbers)
    std::uint32_t prompt_bytes = 200; // NOLINT(*-magic-numbers)
    double rate = 100;                // NOLINT(*-magic-numbers)
    double seconds = 10;              // NOLINT(*-magic-numbers)
    std::uint64_t seed = 1;
    CLI::App app{"Sends open-loop load to one or more addresses at the same time.", "tanager-load"};
    app.add_option("--target", targets, "name=ip:port, once for each address to compare")->required();
    app.add_option("--key", key, "the caller's bearer key");
    app.add_option("--model", model, "name of the requested work entry");
    app.add_option("--tokens", tokens);
    app.add_option("--prompt-bytes", prompt_bytes);
    app.add_option("--rate", rate, "requests per second to each target");
    app.add_option("--seconds", seconds);
    app.add_option("--seed", seed);
    CLI11_PARSE(app, argc, argv);
    tanager::open_event_log("tanager-load", tanager::log_level::warning);
    auto loop = tanager::event_loop::create();
    if (!loop) {
        std::cerr << loop.error().detail << '\n';
        return EXIT_FAILURE;
    }
    const tanager::system_clock time;
    tanager::load_generator generator(**loop, time, seed);
    const nlohmann::json body{{"model", model},
                              {"prompt", std::string(prompt_bytes, 'p')},
                              {"max_tokens", tokens},
                              {"stream", true}};
    std::vector<std::string> names;
    for (const auto& target : targets) {
        const auto equals = target.find('=');
        const auto address = tanager::parse_address(target.substr(equals + 1));
        if (equals == std::string::npos || !address) {
            std::cerr << "'" << target << "' is not name=ip:port\n";
            return EXIT_FAILURE;
        }
        names.push_back(target.substr(0, equals));
        generator.add_stream({names.back(),
                              *address,
                              {"POST", "/v1/completions", {{"Authorization", "Bearer " + key}}, body.dump()},
                              rate});
    }
    generator.run(std::chrono::duration_cast<tanager::duration>(std::chrono::duration<double>(seconds)));
    for (std::size_t i = 0; i < names.size(); ++i) {
        const auto& result = generator.stream_result(i);
        std::cout << "target=" << names[i] << " started=" << result.started
                  << " complete=" << result.completed << " failed=" << result.failed << ' '
                  << result.time_to_first_byte.to_fields("first") << ' '
                  << result.total_latency.to_fields("whole") << '\n';
    }
    return 0;
}
