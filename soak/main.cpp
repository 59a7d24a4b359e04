// Runs a small cluster of real processes under faults drawn from a seed, and checks what callers and backend
// servers observed against the documented guarantees.
#include "logging/event_log.h"
#include "soak/fault_injector.h"
#include "soak/guarantee_check.h"
#include "soak/soak_cluster.h"
#include "soak/traffic_generator.h"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <iostream>

namespace {

using namespace tanager;       // NOLINT(google-build-using-namespace)
using namespace tanager::soak; // NOLINT(google-build-using-namespace)

constexpr std::chrono::seconds max_recovery_time{60};

struct soak_options {
    unsigned seed = 1;
    unsigned seconds = 20;
    std::size_t gateways = 3;
    std::size_t servers = 4;
    unsigned requests_per_second = 80;
};

soak_options read_options(int argc, char** argv)
{
    soak_options options;
    CLI::App app{"Runs a small cluster under injected faults and checks the documented guarantees.",
                 "tanager-soak"};
    app.add_option("--seed", options.seed, "seed of the random faults and requests");
    app.add_option("--seconds", options.seconds, "how long faults are injected");
    app.add_option("--gateways", options.gateways, "number of gateway processes")->check(CLI::PositiveNumber);
    app.add_option("--servers", options.servers, "number of backend servers, two processes each")
        ->check(CLI::PositiveNumber);
    app.add_option("--rate", options.requests_per_second, "requests per second")->check(CLI::PositiveNumber);
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& problem) {
        std::exit(app.exit(problem)); // NOLINT(concurrency-mt-unsafe)
    }
    return options;
}

void await_success(soak_cluster& cluster, const std::string& address, const std::string& path)
{
    const auto end = std::chrono::steady_clock::now() + max_recovery_time;
    for (unsigned count = 0; std::chrono::steady_clock::now() < end; ++count) {
        const http_request request{"POST",
                                   path,
                                   {{"Host", "shop.example"},
                                    {"Attempt-Id", "recovery-" + std::to_string(count)},
                                    {"Deadline-Ms", "2000"}},
                                   "x"};
        if (cluster.platform_client().fetch(address, request).status == 200) { // NOLINT(*-magic-numbers)
            return;
        }
    }
    throw std::runtime_error("no recovery at " + address + " for " + path);
}

// Waits until every gateway serves each route again. Throws when a route takes longer than
// `max_recovery_time`.
void await_recovery(soak_cluster& cluster)
{
    for (const auto& gateway : cluster.running_gateways()) {
        for (const auto* const path : {"/order/1", "/read/1", "/stream/1?events=3"}) {
            await_success(cluster, gateway.address, path);
        }
    }
}

void run(const soak_options& options, soak_record& record, soak_cluster& cluster)
{
    auto& loop = cluster.platform_client().loop();
    traffic_generator traffic(
        cluster.platform_client(), options.seed, record, [&cluster] { return cluster.running_gateways(); });
    fault_injector injector(options.seed, cluster, traffic, record);
    const auto wake_timer = loop.run_every(std::chrono::milliseconds{10}, [] {}); // NOLINT(*-magic-numbers)
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds{options.seconds};
    traffic.start(options.requests_per_second);
    while (!injector.is_idle()) {
        loop.run_once();
        injector.run_due_actions();
        if (std::chrono::steady_clock::now() >= end) {
            injector.stop_injecting();
        }
    }
    traffic.stop();
    cluster.platform_client().run_until([&] { return traffic.pending_count() == 0; });
    for (const auto& [kind, count] : injector.injected_counts()) {
        std::cout << "  " << count << " x " << kind << '\n';
    }
}

int report_result(const soak_record& record, soak_cluster& cluster)
{
    for (const auto& id : cluster.servers()) {
        cluster.collect_execution_counts(id);
    }
    const auto violations = find_guarantee_violations(record);
    const auto answered = std::ranges::count_if(record.requests, [](const auto& request) {
        return request->response && request->response->status == 200; // NOLINT(*-magic-numbers)
    });
    std::cout << record.requests.size() << " requests, " << answered << " served, " << violations.size()
              << " guarantee violations\n";
    for (const auto& line : violations) {
        std::cout << "VIOLATION " << line << '\n';
    }
    if (std::ranges::any_of(violations, [](const auto& line) { return line.starts_with("configuration"); })) {
        for (const auto& log_line : cluster.log_lines("prefix=config/")) {
            std::cout << "  " << log_line << '\n';
        }
    }
    for (const auto& line : violations) {
        const auto begin = line.find("request ");
        if (begin == std::string::npos) {
            continue;
        }
        const auto id = line.substr(begin, line.find(' ', begin + 8) - begin); // NOLINT(*-magic-numbers)
        for (const auto& log_line :
             cluster.log_lines("request=" + id.substr(8) + " ")) { // NOLINT(*-magic-numbers)
            std::cout << "  " << log_line << '\n';
        }
    }
    return violations.empty() ? EXIT_SUCCESS : EXIT_FAILURE;
}

} // namespace

int main(int argc, char** argv)
{
    const auto options = read_options(argc, argv);
    std::cout << "seed " << options.seed << ", " << options.seconds << " s, " << options.gateways
              << " gateways, " << options.servers << " servers\n";
    try {
        soak_record record;
        soak_cluster cluster(options.gateways, options.servers, record);
        run(options, record, cluster);
        await_recovery(cluster);
        return report_result(record, cluster);
    } catch (const std::exception& problem) {
        std::cout << "FAILED run: " << problem.what() << '\n';
        return EXIT_FAILURE;
    }
}
