// Stand-in for a plain service: accepts orders and counts how often each was run.
#include "standins/support/execution_counter.h"
#include "standins/support/fault_registry.h"
#include "standins/support/request_target.h"
#include "standins/support/standin_program.h"

#include <CLI/CLI.hpp>
#include <map>
#include <nlohmann/json.hpp>

namespace {

constexpr int status_ok = 200;
constexpr int status_failed = 500;
constexpr std::uint64_t bulk_chunk_bytes = 65'536;

// Runs each request after a fixed delay.
class plain_service {
public:
    plain_service(tanager::event_loop& loop, std::chrono::milliseconds work_time)
        : loop(loop), work_time(work_time)
    {
    }

    void serve(const std::shared_ptr<tanager::http_exchange>& exchange)
    {
        if (this->faults.serve(*exchange) || this->executions.serve(*exchange)) {
            return;
        }
        const auto target = tanager::standin::parse_request_target(exchange->request().path);
        if (target.path == "/bulk") {
            this->send_bulk(exchange, target.query_number("bytes"));
            return;
        }
        if (target.path == "/bulk_sent") {
            exchange->send_response({status_ok, {}, std::to_string(this->bulk_sent)});
            return;
        }
        const std::uint64_t timer_id = ++this->last_timer_id;
        this->pending_timers.emplace(timer_id,
                                     this->loop.run_after(this->work_time, [this, exchange, timer_id] {
                                         const auto timer = this->pending_timers.extract(timer_id);
                                         this->run(*exchange);
                                     }));
    }

private:
    // Sends a long response in chunks, each after the previous one was written to the connection.
    void send_bulk(const std::shared_ptr<tanager::http_exchange>& exchange, std::uint64_t bytes)
    {
        exchange->start(status_ok, {{"Content-Type", "application/octet-stream"}});
        const auto remaining = std::make_shared<std::uint64_t>(bytes);
        exchange->on_drained([this, weak = std::weak_ptr(exchange), remaining] {
            if (const auto alive = weak.lock()) {
                this->send_chunk(*alive, *remaining);
            }
        });
        this->send_chunk(*exchange, *remaining);
    }

    void send_chunk(tanager::http_exchange& exchange, std::uint64_t& remaining)
    {
        if (remaining == 0) {
            exchange.finish();
            return;
        }
        const auto length = std::min(remaining, bulk_chunk_bytes);
        remaining -= length;
        this->bulk_sent += length;
        exchange.write(std::string(length, 'x'));
    }

    void run(tanager::http_exchange& exchange)
    {
        if (this->faults.consume("error_before")) {
            exchange.send_response({status_failed, {}, "failed before running\n"});
            return;
        }
        this->executions.count_started(exchange.request().body);
        if (this->faults.consume("cut_after")) {
            exchange.abort();
            return;
        }
        this->executions.count_finished();
        const nlohmann::json body{{"receipt", ++this->last_receipt},
                                  {"method", exchange.request().method},
                                  {"path", exchange.request().path},
                                  {"order", exchange.request().body}};
        const auto text = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
        exchange.send_response({status_ok, {{"Content-Type", "application/json"}}, text});
    }

    tanager::event_loop& loop;
    std::chrono::milliseconds work_time;
    tanager::standin::fault_registry faults;
    tanager::standin::execution_counter executions;
    std::uint64_t last_timer_id = 0;
    std::uint64_t last_receipt = 0;
    std::uint64_t bulk_sent = 0;
    std::map<std::uint64_t, std::unique_ptr<tanager::loop_timer>> pending_timers;
};

} // namespace

int main(int argc, char** argv)
{
    using namespace tanager::standin; // NOLINT(google-build-using-namespace)
    std::string listen = "127.0.0.1:0";
    std::uint64_t work_ms = 5; // NOLINT(*-magic-numbers)
    CLI::App app{"Stand-in for a plain service.", "standin-service"};
    app.add_option("--listen", listen, "ip:port; port 0 selects a free port");
    app.add_option("--work-ms", work_ms, "run time of one request in milliseconds");
    CLI11_PARSE(app, argc, argv);
    const auto loop = init_standin("standin-service");
    plain_service service(*loop, std::chrono::milliseconds{work_ms});
    const auto server =
        listen_or_exit(*loop, listen, [&](const std::shared_ptr<tanager::http_exchange>& exchange) {
            service.serve(exchange);
        });
    return run_until_terminated(*loop);
}
