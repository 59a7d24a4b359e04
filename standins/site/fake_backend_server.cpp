#include "standins/site/fake_backend_server.h"

#include <nlohmann/json.hpp>

namespace tanager::standin {

namespace {

constexpr int status_ok = 200;
constexpr int status_misdirected = 421;
constexpr int status_unavailable = 503;

} // namespace

site_server::site_server(event_loop& loop, std::string id) : loop(loop), id(std::move(id)) {}

void site_server::later(std::chrono::milliseconds delay, std::function<void()> work)
{
    const std::uint64_t ticket = ++this->last_ticket;
    this->pending.emplace(ticket, this->loop.run_after(delay, [this, ticket, work = std::move(work)] {
        const auto timer = this->pending.extract(ticket);
        work();
    }));
}

void site_server::serve(const std::shared_ptr<http_exchange>& exchange)
{
    if (this->faults.serve(*exchange)) {
        return;
    }
    const auto& request = exchange->request();
    if (request.path == "/runs") {
        exchange->send_response({status_ok, {}, nlohmann::json(this->runs).dump()});
        return;
    }
    const auto expected = find_header(request.headers, "Expect-Instance");
    if (!expected.empty() && expected != this->id) {
        exchange->send_response({status_misdirected, {{"Instance-Id", this->id}}, {}});
        return;
    }
    if (this->faults.strike("refuse")) {
        exchange->send_response({status_unavailable, {{"Not-Executed", "1"}}, {}});
        return;
    }
    const auto path = parse_path(request.path);
    this->later(std::chrono::milliseconds{path.number("work_ms")}, [this, exchange] { this->run(exchange); });
}

http_headers site_server::head_for(const http_exchange& exchange)
{
    http_headers headers{{"Content-Type", "text/plain"}, {"Server-Id", this->id}};
    const auto request_id = find_header(exchange.request().headers, "Attempt-Id");
    headers.push_back({"Attempt-Id", this->faults.strike("foreign") ? "another" : request_id});
    if (!this->faults.strike("unsigned")) {
        headers.push_back({"Response-Seal", "seal-of-" + request_id});
    }
    return headers;
}

void site_server::run(const std::shared_ptr<http_exchange>& exchange)
{
    ++this->runs[find_header(exchange->request().headers, "Attempt-Id")];
    if (exchange->request().path.starts_with("/stream/")) {
        this->stream(exchange);
        return;
    }
    this->answer(*exchange);
}

void site_server::answer(http_exchange& exchange)
{
    if (this->faults.strike("cut")) {
        exchange.abort();
        return;
    }
    exchange.send_response({status_ok, this->head_for(exchange), "answer to " + exchange.request().body});
}

void site_server::stream(const std::shared_ptr<http_exchange>& exchange)
{
    const auto path = parse_path(exchange->request().path);
    const auto after = find_header(exchange->request().headers, "Last-Event-Id");
    exchange->start(status_ok, this->head_for(*exchange));
    this->send_event(exchange, after.empty() ? 1 : std::stoull(after) + 1, path.number("events"));
}

void site_server::send_event(const std::shared_ptr<http_exchange>& exchange,
                             std::uint64_t number,
                             std::uint64_t last)
{
    if (number > last) {
        exchange->finish();
        return;
    }
    const auto event = "id: " + std::to_string(number) + "\ndata: " + exchange->request().body + "\n\n";
    if (number > 1 && this->faults.strike("cut")) {
        exchange->write(event.substr(0, event.size() / 2));
        this->later(std::chrono::milliseconds{1}, [exchange] { exchange->abort(); });
        return;
    }
    exchange->write(event);
    const auto path = parse_path(exchange->request().path);
    this->later(std::chrono::milliseconds{path.number("event_ms")},
                [this, exchange, number, last] { this->send_event(exchange, number + 1, last); });
}

} // namespace tanager::standin
