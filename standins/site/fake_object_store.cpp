#include "standins/site/fake_object_store.h"

namespace tanager::standin {

namespace {

using nlohmann::json;

constexpr int status_ok = 200;
constexpr int status_not_found = 404;
constexpr int status_conflict = 409;
constexpr int status_gone = 410;
constexpr int status_unavailable = 503;
constexpr std::string_view root = "/objects/";

json to_json(const versioned_object& object)
{
    const auto slash = object.name.find('/');
    return {{"metadata", {{"name", object.name.substr(slash + 1)}, {"revision", object.version}}},
            {"spec", object.deleted ? json::object() : json::parse(object.value, nullptr, false)}};
}

void reply_json(http_exchange& exchange, int status, const json& body)
{
    exchange.send_response({status, {{"Content-Type", "application/json"}}, body.dump()});
}

} // namespace

fake_object_store::fake_object_store(event_loop& loop) : loop(loop) {}

bool fake_object_store::serve(const std::shared_ptr<http_exchange>& exchange)
{
    if (this->faults.serve(*exchange)) {
        return true;
    }
    const auto path = parse_request_target(exchange->request().path);
    if (!path.path.starts_with(root)) {
        return false;
    }
    if (this->faults.value("silent") > 0) {
        this->withheld_exchanges.push_back(exchange);
    } else if (this->faults.value("outage") > 0) {
        exchange->send_response({status_unavailable, {}, {}});
    } else if (exchange->request().method != "GET") {
        this->serve_write(*exchange, path);
    } else {
        this->serve_objects(exchange, path);
    }
    return true;
}

void fake_object_store::serve_objects(const std::shared_ptr<http_exchange>& exchange,
                                      const request_target& path)
{
    const auto name = path.path.substr(root.size());
    if (name.find('/') != std::string::npos) {
        const auto object = this->table.get(name);
        reply_json(
            *exchange, object ? status_ok : status_not_found, object ? to_json(*object) : json::object());
        return;
    }
    if (path.query.contains("watch")) {
        this->serve_watch(exchange, path);
        return;
    }
    json items = json::array();
    for (const auto& object : this->table.list(name + "/")) {
        items.push_back(to_json(object));
    }
    reply_json(*exchange,
               status_ok,
               {{"items", items}, {"hasMore", false}, {"storeRevision", this->table.revision()}});
}

json fake_object_store::events_since(const std::string& prefix, std::uint64_t since) const
{
    json events = json::array();
    for (const auto& object : this->table.changed_since(prefix, since)) {
        events.push_back({{"deleted", object.deleted}, {"object", to_json(object)}});
    }
    return events;
}

void fake_object_store::serve_watch(const std::shared_ptr<http_exchange>& exchange,
                                    const request_target& path)
{
    if (this->faults.consume("forget")) {
        exchange->send_response({status_gone, {}, {}});
        return;
    }
    const auto prefix = path.path.substr(root.size()) + "/";
    this->watches.push_back({exchange, prefix, path.query_number("watch"), nullptr});
    const auto row = std::prev(this->watches.end());
    row->expiry = this->loop.run_after(std::chrono::milliseconds{path.query_number("waitMs")}, [this, row] {
        const auto waiting = row->exchange;
        this->watches.erase(row);
        reply_json(
            *waiting, status_ok, {{"events", json::array()}, {"storeRevision", this->table.revision()}});
    });
    this->answer_watches();
}

void fake_object_store::answer_watches()
{
    for (auto row = this->watches.begin(); row != this->watches.end();) {
        const auto events = this->events_since(row->prefix, row->since);
        if (events.empty()) {
            ++row;
            continue;
        }
        if (this->faults.value("unreadable") > 0) {
            row->exchange->send_response(
                {status_ok, {{"Content-Type", "application/json"}}, "{\"events\": [<"});
        } else {
            reply_json(
                *row->exchange, status_ok, {{"events", events}, {"storeRevision", this->table.revision()}});
        }
        row = this->watches.erase(row);
    }
}

void fake_object_store::serve_write(http_exchange& exchange, const request_target& path)
{
    const auto body = json::parse(exchange.request().body, nullptr, false);
    auto name = path.path.substr(root.size());
    const bool is_creation = exchange.request().method == "POST";
    if (is_creation) {
        name += "/" + body["metadata"].value("name", std::string{});
    }
    const auto standing = this->table.get(name);
    const auto version = standing ? standing->version : 0;
    const auto wanted = is_creation        ? 0
                        : body.is_object() ? body["metadata"].value("revision", version)
                                           : path.query_number("revision");
    const auto written = exchange.request().method == "DELETE"
                             ? this->table.remove(name, wanted)
                             : this->table.put(name, body["spec"].dump(), wanted);
    this->answer_watches();
    if (this->faults.consume("lost_answer")) {
        exchange.abort();
        return;
    }
    const json answer{{"metadata", {{"name", name}, {"revision", written.value_or(version)}}}};
    reply_json(exchange, written ? status_ok : status_conflict, answer);
}

void fake_object_store::write(const std::string& name, const json& spec)
{
    const auto standing = this->table.get(name);
    this->table.put(name, spec.dump(), standing ? standing->version : 0);
    this->answer_watches();
}

void fake_object_store::remove(const std::string& name)
{
    const auto standing = this->table.get(name);
    if (standing) {
        this->table.remove(name, standing->version);
        this->answer_watches();
    }
}

} // namespace tanager::standin
