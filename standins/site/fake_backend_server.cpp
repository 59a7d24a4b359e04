#include "standins/site/fake_backend_server.h"

#include <nlohmann/json.hpp>

namespace tanager::standin {

namespace {

constexpr int status_ok = 200;
constexpr int status_misdirected = 421;
constexpr int status_unavailable = 503;

} // namespace

fake_backend_server::fake_backend_server(event_loop& loop, std::string id) : loop(loop), id(std::move(id)) {}

void fake_backend_server::schedule(std::chrono::milliseconds delay, std::function<void()> callback)
{
    const std::uint64_t timer_id = ++this->last_timer_id;
    this->pending_timers.emplace(
        timer_id, this->loop.run_after(delay, [this, timer_id, callback = std::move(callback)] {
            const auto timer = this->pending_timers.extract(timer_id);
            callback();
        }));
}

void fake_backend_server::serve(const std::shared_ptr<http_exchange>& exchange)
{
    if (this->faults.serve(*exchange)) {
        return;
    }
    const auto& request = exchange->request();
    if (request.path == "/runs") {
        exchange->send_response({status_ok, {}, nlohmann::json(this->execution_counts).dump()});
        return;
    }
    if (request.path == "/callers") {
        exchange->send_response({status_ok, {}, nlohmann::json(this->callers).dump()});
        return;
    }
    const auto expected = find_header(request.headers, "Expect-Instance");
    if (!expected.empty() && expected != this->id) {
        this->respond_without_run(*exchange, status_misdirected, {{"Instance-Id", this->id}});
        return;
    }
    if (this->faults.consume("refuse")) {
        this->respond_without_run(*exchange, status_unavailable, {{"Not-Executed", "1"}});
        return;
    }
    const auto target = parse_request_target(request.path);
    this->schedule(std::chrono::milliseconds{target.query_number("work_ms")},
                   [this, exchange] { this->run(exchange); });
}

void fake_backend_server::respond_without_run(http_exchange& exchange, int status, http_headers headers)
{
    this->add_leaving_statement(headers);
    exchange.send_response({status, std::move(headers), {}});
}

void fake_backend_server::add_leaving_statement(http_headers& headers) const
{
    if (this->faults.value("leaving") != 0) {
        headers.push_back({"Server-Leaving", "1"});
    }
}

http_headers fake_backend_server::make_response_headers(const http_exchange& exchange)
{
    http_headers headers{{"Content-Type", "text/plain"}, {"Server-Id", this->id}};
    const auto request_id = find_header(exchange.request().headers, "Attempt-Id");
    headers.push_back({"Attempt-Id", this->faults.consume("foreign") ? "another" : request_id});
    if (!this->faults.consume("unsigned")) {
        headers.push_back({"Response-Seal", "seal-of-" + request_id});
    }
    this->add_leaving_statement(headers);
    return headers;
}

void fake_backend_server::run(const std::shared_ptr<http_exchange>& exchange)
{
    const auto& headers = exchange->request().headers;
    const auto request_id = find_header(headers, "Attempt-Id");
    ++this->execution_counts[request_id];
    this->callers[request_id].push_back(find_header(headers, "Authorization") + "|" +
                                        find_header(headers, "Tenant"));
    if (exchange->request().path.starts_with("/stream/")) {
        this->start_stream(exchange);
        return;
    }
    this->respond(*exchange);
}

void fake_backend_server::respond(http_exchange& exchange)
{
    if (this->faults.consume("cut")) {
        exchange.abort();
        return;
    }
    exchange.send_response(
        {status_ok, this->make_response_headers(exchange), "answer to " + exchange.request().body});
}

void fake_backend_server::start_stream(const std::shared_ptr<http_exchange>& exchange)
{
    const auto target = parse_request_target(exchange->request().path);
    const auto after = find_header(exchange->request().headers, "Last-Event-Id");
    exchange->start(status_ok, this->make_response_headers(*exchange));
    this->send_event(exchange, after.empty() ? 1 : std::stoull(after) + 1, target.query_number("events"));
}

void fake_backend_server::send_event(const std::shared_ptr<http_exchange>& exchange,
                                     std::uint64_t number,
                                     std::uint64_t last)
{
    if (number > last) {
        exchange->finish();
        return;
    }
    const auto event = "id: " + std::to_string(number) + "\ndata: " + exchange->request().body + "\n\n";
    if (number > 1 && this->faults.consume("cut")) {
        exchange->write(event.substr(0, event.size() / 2));
        this->schedule(std::chrono::milliseconds{1}, [exchange] { exchange->abort(); });
        return;
    }
    exchange->write(event);
    const auto target = parse_request_target(exchange->request().path);
    this->schedule(std::chrono::milliseconds{target.query_number("event_ms")},
                   [this, exchange, number, last] { this->send_event(exchange, number + 1, last); });
}

} // namespace tanager::standin
