#include "standins/platform/platform_server.h"

#include <nlohmann/json.hpp>

namespace tanager::standin {

namespace {

constexpr int status_ok = 200;
constexpr int status_not_found = 404;
constexpr int status_conflict = 409;
constexpr int status_unavailable = 503;
constexpr std::uint64_t default_wait_ms = 20'000;
constexpr const char* object_path = "/v1/objects/";

nlohmann::json to_json(const versioned_object& object)
{
    return {{"name", object.name},
            {"version", object.version},
            {"deleted", object.deleted},
            {"value", object.value}};
}

nlohmann::json to_json(const std::vector<versioned_object>& objects)
{
    auto items = nlohmann::json::array();
    for (const auto& object : objects) {
        items.push_back(to_json(object));
    }
    return items;
}

void send_json(http_exchange& exchange, int status, const nlohmann::json& body)
{
    exchange.send_response({status, {{"Content-Type", "application/json"}}, body.dump()});
}

} // namespace

platform_server::platform_server(event_loop& loop) : loop(loop), host_list_json(R"({"hosts":[]})") {}

void platform_server::serve(const std::shared_ptr<http_exchange>& exchange)
{
    const auto target = parse_request_target(exchange->request().path);
    if (this->faults.serve(*exchange)) {
        return;
    }
    if (target.path == "/calls") {
        this->serve_call_counts(*exchange);
        return;
    }
    if (target.path == "/v1/hosts" && exchange->request().method == "POST") {
        this->serve_hosts(*exchange);
        return;
    }
    if (this->faults.value("silent") > 0) {
        this->withheld_exchanges.push_back(exchange);
        return;
    }
    if (this->faults.value("outage") > 0) {
        exchange->send_response({status_unavailable, {}, "outage\n"});
        return;
    }
    if (target.path == "/v1/hosts") {
        ++this->call_counts["hosts"];
        exchange->send_response({status_ok, {{"Content-Type", "application/json"}}, this->host_list_json});
    } else if (target.path == "/v1/objects") {
        this->serve_list(*exchange, target);
    } else if (target.path == "/v1/watch") {
        this->serve_watch(exchange, target);
    } else if (target.path.starts_with(object_path)) {
        this->serve_object(*exchange, target);
    } else {
        exchange->send_response({status_not_found, {}, "no such path\n"});
    }
}

void platform_server::serve_object(http_exchange& exchange, const request_target& target)
{
    const std::string name = target.path.substr(std::string{object_path}.size());
    if (exchange.request().method != "GET") {
        this->serve_write(exchange, target, name);
        return;
    }
    ++this->call_counts["get"];
    const auto object = this->table.get(name);
    if (!object) {
        exchange.send_response({status_not_found, {}, "no such object\n"});
        return;
    }
    send_json(exchange, status_ok, to_json(*object));
}

void platform_server::serve_write(http_exchange& exchange,
                                  const request_target& target,
                                  const std::string& name)
{
    ++this->call_counts["write"];
    const bool is_removal = exchange.request().method == "DELETE";
    const std::uint64_t expected = target.query_number("expected");
    const auto version = is_removal ? this->table.remove(name, expected)
                                    : this->table.put(name, exchange.request().body, expected);
    if (!version) {
        exchange.send_response({status_conflict, {}, "another version stands\n"});
        return;
    }
    if (this->faults.consume("lost_answer")) {
        exchange.abort();
    } else {
        send_json(exchange, status_ok, {{"version", *version}});
    }
    this->complete_watches();
}

void platform_server::serve_list(http_exchange& exchange, const request_target& target)
{
    ++this->call_counts["list"];
    const auto objects = this->table.list(target.query_text("prefix"));
    send_json(exchange,
              status_ok,
              {{"revision", this->table.revision()}, {"whole", true}, {"objects", to_json(objects)}});
}

void platform_server::serve_watch(const std::shared_ptr<http_exchange>& exchange,
                                  const request_target& target)
{
    ++this->call_counts["watch"];
    this->watches.push_back({exchange, target.query_text("prefix"), target.query_number("since"), nullptr});
    const auto watch = std::prev(this->watches.end());
    const std::chrono::milliseconds wait{target.query_number("wait_ms", default_wait_ms)};
    watch->expiry = this->loop.run_after(wait, [this, watch] {
        const auto expired = std::move(*watch);
        this->watches.erase(watch);
        send_json(*expired.exchange,
                  status_ok,
                  {{"revision", expired.since_revision}, {"objects", nlohmann::json::array()}});
    });
    this->complete_watches();
}

void platform_server::complete_watches()
{
    for (auto watch = this->watches.begin(); watch != this->watches.end();) {
        const auto changed = this->table.changed_since(watch->prefix, watch->since_revision);
        if (changed.empty()) {
            ++watch;
            continue;
        }
        send_json(*watch->exchange,
                  status_ok,
                  {{"revision", this->table.revision()}, {"objects", to_json(changed)}});
        watch = this->watches.erase(watch);
    }
}

void platform_server::serve_hosts(http_exchange& exchange)
{
    const std::chrono::milliseconds lag{this->faults.value("host_list_lag_ms")};
    this->host_list_lag =
        this->loop.run_after(lag, [this, body = exchange.request().body] { this->host_list_json = body; });
    exchange.send_response({status_ok, {}, "ok\n"});
}

void platform_server::serve_call_counts(http_exchange& exchange)
{
    send_json(exchange, status_ok, this->call_counts);
}

} // namespace tanager::standin
