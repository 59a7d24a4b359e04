// Stand-in for a small part of the platform: its store and backend servers in one process.
#include "logging/event_log.h"
#include "standins/site/fake_backend_server.h"
#include "standins/site/fake_duty_platform.h"
#include "standins/site/fake_object_store.h"
#include "standins/support/standin_program.h"

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <vector>

namespace {

using nlohmann::json;

json make_route(const std::string& name, const std::string& kind, bool is_resumable, int timeout_ms)
{
    return {{"name", name},
            {"host", "shop.example"},
            {"pathPrefix", "/" + name + "/"},
            {"kind", kind},
            {"resumable", is_resumable},
            {"service", "desk"},
            {"timeoutMs", timeout_ms},
            {"targetLatencyMs", 300},
            {"maxAttempts", 2}};
}

// Each organisation `org-N` has the key `key-N`.
json make_configuration(int timeout_ms, std::size_t organisations)
{
    json configuration{{"version", 1},
                       {"routes",
                        {make_route("order", "non_idempotent", false, timeout_ms),
                         make_route("read", "idempotent", false, timeout_ms),
                         make_route("stream", "streaming", true, timeout_ms)}},
                       {"services", {{{"name", "desk"}}}},
                       {"limits", json::object()}};
    for (std::size_t index = 0; index < organisations; ++index) {
        const auto number = std::to_string(index);
        configuration["tenants"].push_back(
            {{"name", "org-" + number}, {"apiKeys", json::array({"key-" + number})}});
    }
    return configuration;
}

// The store's names may be some thousand bytes long.
constexpr std::size_t max_header_bytes = std::size_t{64} * 1024;

std::unique_ptr<tanager::http_server> listen(tanager::event_loop& loop, tanager::http_server::handler serve)
{
    tanager::http_server_limits limits;
    limits.max_header_bytes = max_header_bytes;
    auto server = tanager::http_server::create(loop, "127.0.0.1:0", limits, std::move(serve));
    if (!server) {
        throw std::runtime_error(server.error().detail);
    }
    return std::move(*server);
}

} // namespace

int main(int argc, char** argv)
{
    using namespace tanager::standin; // NOLINT(google-build-using-namespace)
    std::size_t servers = 2;
    std::string prefix = "i-";
    int timeout_ms = 5'000; // NOLINT(*-magic-numbers)
    std::uint64_t era = 0;
    std::size_t organisations = 0;
    CLI::App app{"Stand-in for the platform's store and a few backend servers.", "standin-site"};
    app.add_option("--servers", servers, "number of backend servers");
    app.add_option("--prefix", prefix, "prefix of the ids of the backend servers");
    app.add_option("--timeout-ms", timeout_ms, "timeout of the routes in milliseconds");
    app.add_option("--era", era, "era that the store states in its answers; none if 0");
    app.add_option("--organisations", organisations, "number of organisations; 0: callers need no key");
    CLI11_PARSE(app, argc, argv);
    const auto loop = init_standin("standin-site");
    fake_object_store store(*loop, era);
    std::string addresses;
    std::vector<std::unique_ptr<fake_backend_server>> backend_servers;
    std::vector<std::unique_ptr<tanager::http_server>> http_servers;
    for (std::size_t index = 0; index < servers; ++index) {
        const auto id = prefix + std::to_string(index);
        backend_servers.push_back(std::make_unique<fake_backend_server>(*loop, id));
        http_servers.push_back(listen(*loop, [server = backend_servers.back().get()](const auto& exchange) {
            server->serve(exchange);
        }));
        addresses += (index == 0 ? "" : ",") + http_servers.back()->address();
        store.write("servers/" + id,
                    {{"service", "desk"},
                     {"address", http_servers.back()->address()},
                     {"zone", "here"},
                     {"slots", 6},
                     {"state", "ready"},
                     {"born", index + 1}});
    }
    fake_duty_platform duties(*loop);
    http_servers.push_back(listen(*loop, [&duties](const auto& exchange) { duties.serve(exchange); }));
    const auto duty_address = http_servers.back()->address();
    store.write("config/main", make_configuration(timeout_ms, organisations));
    http_servers.push_back(listen(*loop, [&store](const auto& exchange) {
        if (!store.serve(exchange)) {
            exchange->send_response({404, {}, {}}); // NOLINT(*-magic-numbers)
        }
    }));
    tanager::write_event(
        tanager::log_event::program_listening,
        {{"http", http_servers.back()->address()}, {"servers", addresses}, {"duties", duty_address}});
    return run_until_terminated(*loop);
}
