#include "standins/site/fake_object_store.h"

namespace tanager::standin {

namespace {

using nlohmann::json;

constexpr int status_ok = 200;
constexpr int status_not_found = 404;
constexpr int status_conflict = 409;
constexpr int status_gone = 410;
constexpr int status_unavailable = 503;
constexpr std::string_view objects_path = "/objects/";

json to_json(const versioned_object& object)
{
    const auto slash = object.name.find('/');
    return {{"metadata", {{"name", object.name.substr(slash + 1)}, {"revision", object.version}}},
            {"spec", object.deleted ? json::object() : json::parse(object.value, nullptr, false)}};
}

void send_json(http_exchange& exchange, int status, const json& body)
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
    const auto target = parse_request_target(exchange->request().path);
    if (!target.path.starts_with(objects_path)) {
        return false;
    }
    if (this->faults.value("silent") > 0) {
        this->withheld_exchanges.push_back(exchange);
    } else if (this->faults.value("outage") > 0) {
        exchange->send_response({status_unavailable, {}, {}});
    } else if (exchange->request().method != "GET") {
        this->serve_write(*exchange, target);
    } else {
        this->serve_objects(exchange, target);
    }
    return true;
}

void fake_object_store::serve_objects(const std::shared_ptr<http_exchange>& exchange,
                                      const request_target& target)
{
    const auto name = target.path.substr(objects_path.size());
    if (name.find('/') != std::string::npos) {
        const auto object = this->table.get(name);
        send_json(
            *exchange, object ? status_ok : status_not_found, object ? to_json(*object) : json::object());
        return;
    }
    if (target.query.contains("watch")) {
        this->serve_watch(exchange, target);
        return;
    }
    json items = json::array();
    for (const auto& object : this->table.list(name + "/")) {
        items.push_back(to_json(object));
    }
    send_json(*exchange,
              status_ok,
              {{"items", items}, {"hasMore", false}, {"storeRevision", this->table.revision()}});
}

json fake_object_store::events_since(const std::string& prefix, std::uint64_t since_revision) const
{
    json events = json::array();
    for (const auto& object : this->table.changed_since(prefix, since_revision)) {
        events.push_back({{"deleted", object.deleted}, {"object", to_json(object)}});
    }
    return events;
}

void fake_object_store::serve_watch(const std::shared_ptr<http_exchange>& exchange,
                                    const request_target& target)
{
    if (this->faults.consume("forget")) {
        exchange->send_response({status_gone, {}, {}});
        return;
    }
    const auto prefix = target.path.substr(objects_path.size()) + "/";
    this->watches.push_back({exchange, prefix, target.query_number("watch"), nullptr});
    const auto watch = std::prev(this->watches.end());
    watch->expiry =
        this->loop.run_after(std::chrono::milliseconds{target.query_number("waitMs")}, [this, watch] {
            const auto expired = watch->exchange;
            this->watches.erase(watch);
            send_json(
                *expired, status_ok, {{"events", json::array()}, {"storeRevision", this->table.revision()}});
        });
    this->complete_watches();
}

void fake_object_store::complete_watches()
{
    for (auto watch = this->watches.begin(); watch != this->watches.end();) {
        const auto events = this->events_since(watch->prefix, watch->since_revision);
        if (events.empty()) {
            ++watch;
            continue;
        }
        if (this->faults.value("unreadable") > 0) {
            watch->exchange->send_response(
                {status_ok, {{"Content-Type", "application/json"}}, "{\"events\": [<"});
        } else {
            send_json(
                *watch->exchange, status_ok, {{"events", events}, {"storeRevision", this->table.revision()}});
        }
        watch = this->watches.erase(watch);
    }
}

void fake_object_store::serve_write(http_exchange& exchange, const request_target& target)
{
    const auto body = json::parse(exchange.request().body, nullptr, false);
    auto name = target.path.substr(objects_path.size());
    const bool is_creation = exchange.request().method == "POST";
    if (is_creation) {
        name += "/" + body["metadata"].value("name", std::string{});
    }
    const auto current = this->table.get(name);
    const auto current_version = current ? current->version : 0;
    const auto expected_version = is_creation        ? 0
                                  : body.is_object() ? body["metadata"].value("revision", current_version)
                                                     : target.query_number("revision");
    const auto new_version = exchange.request().method == "DELETE"
                                 ? this->table.remove(name, expected_version)
                                 : this->table.put(name, body["spec"].dump(), expected_version);
    this->complete_watches();
    if (this->faults.consume("lost_answer")) {
        exchange.abort();
        return;
    }
    const json response_body{
        {"metadata", {{"name", name}, {"revision", new_version.value_or(current_version)}}}};
    send_json(exchange, new_version ? status_ok : status_conflict, response_body);
}

void fake_object_store::write(const std::string& name, const json& spec)
{
    const auto current = this->table.get(name);
    this->table.put(name, spec.dump(), current ? current->version : 0);
    this->complete_watches();
}

void fake_object_store::remove(const std::string& name)
{
    const auto current = this->table.get(name);
    if (current) {
        this->table.remove(name, current->version);
        this->complete_watches();
    }
}

} // namespace tanager::standin
