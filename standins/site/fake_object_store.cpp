#include "standins/site/fake_object_store.h"

#include "base/text.h"
#include "testing/concatenate.h"

#include <algorithm>
#include <array>
#include <map>
#include <utility>

namespace tanager::standin {

namespace {

using nlohmann::json;

constexpr int status_ok = 200;
constexpr int status_bad_request = 400;
constexpr int status_not_found = 404;
constexpr int status_conflict = 409;
constexpr int status_gone = 410;
constexpr int status_unavailable = 503;
constexpr std::string_view objects_path = "/objects/";
constexpr const char* era_header = "Store-Era";
// How long a restored store is away, and how long after that it lacks what is written again.
constexpr std::chrono::milliseconds restore_time{200};
constexpr std::chrono::milliseconds rewrite_delay{700};

constexpr std::array<std::string_view, 5> parameters{"after", "watch", "waitMs", "revision", "allowStale"};

bool is_well_formed(const request_target& target)
{
    return target.is_valid && std::ranges::all_of(target.query, [](const auto& parameter) {
               return std::ranges::find(parameters, parameter.first) != parameters.end();
           });
}

std::string name_in_kind(const std::string& name)
{
    return name.substr(name.find('/') + 1);
}

// Writes an encoded surrogate, three bytes from `at`, as an escape; any other byte as it is.
std::string escape_surrogates(const std::string& text)
{
    constexpr unsigned payload = 0x3F;
    std::string escaped;
    for (std::size_t at = 0; at < text.size(); ++at) {
        const auto byte = [&](std::size_t offset) {
            return at + offset < text.size() ? static_cast<unsigned char>(text[at + offset]) : 0U;
        };
        if (byte(0) == 0xED && byte(1) >= 0xA0 && byte(2) >= 0x80) { // NOLINT(*-magic-numbers)
            const auto unit = 0xD000U + ((byte(1) & payload) << 6U) + (byte(2) & payload); // NOLINT
            escaped += "\\u" + to_hex(unit).substr(12);                                    // NOLINT
            at += 2;
        } else {
            escaped += text[at];
        }
    }
    return escaped;
}

// Which objects the operators and backend servers write; the gateways write the others.
bool is_written_again(const std::string& name)
{
    return name.starts_with("config/") || name.starts_with("servers/");
}

} // namespace

fake_object_store::fake_object_store(event_loop& loop, std::uint64_t era) : loop(loop), era(era) {}

void fake_object_store::send_json(http_exchange& exchange, int status, const std::string& body) const
{
    http_headers headers{{"Content-Type", "application/json"}};
    if (this->era > 0) {
        headers.push_back({era_header, std::to_string(this->era)});
    }
    exchange.send_response({status, headers, body});
}

void fake_object_store::send_status(http_exchange& exchange, int status) const
{
    this->send_json(exchange, status, "{}");
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
    } else if (!is_well_formed(target)) {
        this->send_status(*exchange, status_bad_request);
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
            *exchange, object ? status_ok : status_not_found, object ? this->object_text(*object) : "{}");
        return;
    }
    if (target.query.contains("watch")) {
        this->serve_watch(exchange, target);
        return;
    }
    this->serve_list(*exchange, target, name + "/");
}

void fake_object_store::serve_list(http_exchange& exchange,
                                   const request_target& target,
                                   const std::string& prefix)
{
    if (prefix == "servers/" && this->faults.value("unreadable_servers") > 0) {
        this->send_json(exchange, status_ok, "{\"items\": [<");
        return;
    }
    const auto page_size = this->faults.value("page_size");
    const auto after = target.query.find("after");
    std::string items;
    std::size_t count = 0;
    bool has_more = false;
    for (const auto& object : this->table.list(prefix)) {
        if (after != target.query.end() && name_in_kind(object.name) <= after->second) {
            continue;
        }
        has_more = page_size > 0 && count == page_size;
        if (has_more) {
            break;
        }
        items += (count++ == 0 ? "" : ",") + this->object_text(object);
    }
    this->send_json(exchange,
                    status_ok,
                    testing::concatenate({R"({"items":[)",
                                          items,
                                          R"(],"hasMore":)",
                                          has_more ? "true" : "false",
                                          R"(,"storeRevision":)",
                                          std::to_string(this->table.revision()),
                                          "}"}));
}

std::string fake_object_store::name_text(const std::string& name) const
{
    const bool is_number =
        !name.empty() && name.find_first_not_of("0123456789") == std::string::npos && name.front() != '0';
    if (is_number && this->faults.value("numeric_names") > 0) {
        return name;
    }
    std::string text;
    for (const char byte : name) {
        const bool is_ascii = static_cast<unsigned char>(byte) < 0x80; // NOLINT(*-magic-numbers)
        const auto quoted =
            is_ascii ? json(std::string{byte}).dump() : testing::concatenate({" ", {&byte, 1}, " "});
        text += quoted.substr(1, quoted.size() - 2);
    }
    return '"' + escape_surrogates(text) + '"';
}

std::string fake_object_store::object_text(const versioned_object& object) const
{
    const std::string spec = object.deleted ? "{}" : object.value;
    return testing::concatenate({R"({"metadata":{"name":)",
                                 this->name_text(name_in_kind(object.name)),
                                 R"(,"revision":)",
                                 std::to_string(object.version),
                                 R"(},"spec":)",
                                 spec,
                                 "}"});
}

std::vector<versioned_object> fake_object_store::versions_since(const std::string& prefix,
                                                                std::uint64_t since_revision) const
{
    std::vector<versioned_object> versions;
    for (const auto& write : this->writes) {
        if (write.name.starts_with(prefix) && write.version > since_revision) {
            versions.push_back({write.name, write.version, !write.value, write.value.value_or("")});
        }
    }
    return versions;
}

std::string fake_object_store::events_since(const std::string& prefix, std::uint64_t since_revision) const
{
    std::string events;
    const auto changed = this->faults.value("every_version") > 0
                             ? this->versions_since(prefix, since_revision)
                             : this->table.changed_since(prefix, since_revision);
    for (const auto& object : changed) {
        events += testing::concatenate({events.empty() ? "" : ",",
                                        R"({"deleted":)",
                                        object.deleted ? "true" : "false",
                                        R"(,"object":)",
                                        this->object_text(object),
                                        "}"});
    }
    return events;
}

std::string fake_object_store::watch_response(const std::string& events) const
{
    return testing::concatenate(
        {R"({"events":[)", events, R"(],"storeRevision":)", std::to_string(this->table.revision()), "}"});
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
            this->send_json(*expired, status_ok, this->watch_response(""));
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
            this->send_json(*watch->exchange, status_ok, this->watch_response(events));
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
                                                     : target.query_number("revision", current_version);
    const auto new_version = exchange.request().method == "DELETE"
                                 ? this->apply(name, std::nullopt, expected_version)
                                 : this->apply(name, body["spec"].dump(), expected_version);
    this->complete_watches();
    if (this->faults.consume("lost_answer")) {
        exchange.abort();
        return;
    }
    this->send_json(exchange,
                    new_version ? status_ok : status_conflict,
                    testing::concatenate({R"({"metadata":{"name":)",
                                          this->name_text(name),
                                          R"(,"revision":)",
                                          std::to_string(new_version.value_or(current_version)),
                                          "}}"}));
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
        this->writes.push_back({steady_clock::now(), name, value, *version});
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
        const auto restored = write.value ? this->table.put(write.name, *write.value, version)
                                          : this->table.remove(write.name, version);
        write.version = restored.value_or(version);
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
