// Stand-in for the network between two processes: a TCP proxy that injects faults.
#include "logging/event_log.h"
#include "standins/proxy/fault_proxy.h"
#include "standins/support/standin_program.h"

#include <CLI/CLI.hpp>
#include <iostream>

int main(int argc, char** argv)
{
    using namespace tanager::standin; // NOLINT(google-build-using-namespace)
    std::string listen = "127.0.0.1:0";
    std::string control = "127.0.0.1:0";
    std::string target;
    CLI::App app{"Stand-in for the network between two processes.", "standin-proxy"};
    app.add_option("--listen", listen, "ip:port; port 0 selects a free port");
    app.add_option("--control", control, "ip:port that serves /faults");
    app.add_option("--target", target, "ip:port that connections are forwarded to")->required();
    CLI11_PARSE(app, argc, argv);
    const auto loop = init_standin("standin-proxy");
    const auto target_address = tanager::parse_address(target);
    const auto listen_address = tanager::parse_address(listen);
    if (!target_address || !listen_address) {
        std::cerr << "--target or --listen is not ip:port\n";
        return EXIT_FAILURE;
    }
    fault_proxy proxy(*loop, *target_address);
    const auto bound_address = proxy.listen(*listen_address);
    if (!bound_address) {
        std::cerr << bound_address.error().detail << '\n';
        return EXIT_FAILURE;
    }
    tanager::write_event(tanager::log_event::program_listening, {{"proxy", *bound_address}});
    const auto server =
        listen_or_exit(*loop, control, [&](const std::shared_ptr<tanager::http_exchange>& exchange) {
            proxy.serve_control(exchange);
        });
    return run_until_terminated(*loop);
}
