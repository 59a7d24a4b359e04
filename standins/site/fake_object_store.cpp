#include "standins/site/fake_object_store.h"

#include <algorithm>
#include <map>
#include <utility>

namespace tanager::standin {

namespace {

using nlohmann::json;

constexpr int status_ok = 200;
constexpr int status_not_found = 404;
constexpr int status_conflict = 409;
constexpr int status_gone = 410;
constexpr int status_unavailable = 503;
constexpr std::string_view objects_path = "/objects/";
constexpr const char* era_header = "Store-Era";
// How long a restored store is away, and how long after that it lacks what is written again.
constexpr std::chrono::milliseconds restore_time{200};
constexpr std::chrono::milliseconds rewrite_delay{700};

json to_json(const versioned_object& object)
{
    const auto slash = object.name.find('/');
    return {{"metadata", {{"name", object.name.substr(slash + 1)}, {"revision", object.version}}},
            {"spec", object.deleted ? json::object() : json::parse(object.value, nullptr, false)}};
}

// Which objects the operators and backend servers write; the gateways write the others.
bool is_written_again(const std::string& name)
{
    return name.starts_with("config/") || name.starts_with("servers/");
}

} // namespace

fake_object_store::fake_object_store(event_loop& loop, std::uint64_t era) : loop(loop), era(era) {}

void fake_object_store::send_json(http_exchange& exchange, int status, const json& body) const
{
    http_headers headers{{"Content-Type", "application/json"}};
    if (this->era > 0) {
        headers.push_back({era_header, std::to_string(this->era)});
    }
    exchange.send_response({status, headers, body.dump()});
}

void fake_object_store::send_status(http_exchange& exchange, int status) const
{
    this->send_json(exchange, status, json::object());
}

bool fake_object_store::serve(const std::shared_ptr<http_exchange>& exchange)
{
    if (this->faults.serve(*exchange)) {
        if (const auto age = this->faults.take("restore_ms"); age > 0) {
            this->restore(std::chrono::milliseconds{age});
        }
        return true;
    }
    const auto target = parse_request_target(exchange->request().path);
    if (!target.path.starts_with(objects_path)) {
        return false;
    }
    if (this->faults.value("silent") > 0) {
        this->withheld_exchanges.push_back(exchange);
    } else if (this->faults.value("outage") > 0 || steady_clock::now() < this->away_until) {
        this->send_status(*exchange, status_unavailable);
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
        this->send_json(
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
    this->send_json(*exchange,
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
    if (this->faults.consume("forget") || target.query_number("watch") > this->table.revision()) {
        this->send_status(*exchange, status_gone);
        return;
    }
    const auto prefix = target.path.substr(objects_path.size()) + "/";
    this->watches.push_back({exchange, prefix, target.query_number("watch"), nullptr});
    const auto watch = std::prev(this->watches.end());
    watch->expiry =
        this->loop.run_after(std::chrono::milliseconds{target.query_number("waitMs")}, [this, watch] {
            const auto expired = watch->exchange;
            this->watches.erase(watch);
            this->send_json(
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
            this->send_json(
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
                                 ? this->apply(name, std::nullopt, expected_version)
                                 : this->apply(name, body["spec"].dump(), expected_version);
    this->complete_watches();
    if (this->faults.consume("lost_answer")) {
        exchange.abort();
        return;
    }
    const json response_body{
        {"metadata", {{"name", name}, {"revision", new_version.value_or(current_version)}}}};
    this->send_json(exchange, new_version ? status_ok : status_conflict, response_body);
}

void fake_object_store::write(const std::string& name, const json& spec)
{
    const auto current = this->table.get(name);
    this->apply(name, spec.dump(), current ? current->version : 0);
    this->complete_watches();
}

void fake_object_store::remove(const std::string& name)
{
    const auto current = this->table.get(name);
    if (current) {
        this->apply(name, std::nullopt, current->version);
        this->complete_watches();
    }
}

std::optional<std::uint64_t> fake_object_store::apply(const std::string& name,
                                                      const std::optional<std::string>& value,
                                                      std::uint64_t expected)
{
    const auto version = value ? this->table.put(name, *value, expected) : this->table.remove(name, expected);
    if (version) {
        this->writes.push_back({steady_clock::now(), name, value});
    }
    return version;
}

void fake_object_store::restore(std::chrono::milliseconds age)
{
    const auto now = steady_clock::now();
    this->table = {};
    for (auto& write : std::exchange(this->writes, {})) {
        if (write.at > now - age) {
            this->lost_values[write.name] = write.value;
            continue;
        }
        const auto current = this->table.get(write.name);
        const auto version = current ? current->version : 0;
        write.value ? this->table.put(write.name, *write.value, version)
                    : this->table.remove(write.name, version);
        this->writes.push_back(std::move(write));
    }
    ++this->era;
    this->away_until = now + restore_time;
    for (const auto& watch : std::exchange(this->watches, {})) {
        watch.exchange->abort();
    }
    const auto rewrite = [this, now] {
        for (const auto& entry : std::exchange(this->lost_values, {})) {
            const auto& name = entry.first;
            const auto& value = entry.second;
            const bool was_written = std::ranges::any_of(
                this->writes, [&](const auto& write) { return write.name == name && write.at > now; });
            if (was_written || !is_written_again(name)) {
                continue;
            }
            if (value) {
                this->write(name, json::parse(*value, nullptr, false));
            } else {
                this->remove(name);
            }
        }
    };
    this->rewrite_timer = this->loop.run_after(restore_time + rewrite_delay, rewrite);
}

} // namespace tanager::standin
