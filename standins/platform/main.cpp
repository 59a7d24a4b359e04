// Stand-in for the platform: object API and host list.
#include "standins/platform/platform_server.h"
#include "standins/support/standin_program.h"

#include <CLI/CLI.hpp>

int main(int argc, char** argv)
{
    using namespace tanager::standin; // NOLINT(google-build-using-namespace)
    std::string listen = "127.0.0.1:0";
    CLI::App app{"Stand-in for the platform.", "standin-platform"};
    app.add_option("--listen", listen, "ip:port; port 0 selects a free port");
    CLI11_PARSE(app, argc, argv);
    const auto loop = init_standin("standin-platform");
    platform_server platform(*loop);
    const auto server =
        listen_or_exit(*loop, listen, [&](const std::shared_ptr<tanager::http_exchange>& exchange) {
            platform.serve(exchange);
        });
    return run_until_terminated(*loop);
}
