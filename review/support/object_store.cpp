#include "object_store.h"

namespace review {

namespace {

constexpr int status_ok = 200;
constexpr int status_created = 201;
constexpr int status_not_found = 404;
constexpr int status_conflict = 409;

const std::string json_type = "Content-Type: application/json\r\n";
const std::string objects_path = "/objects/";

std::string to_json(const std::string& name, std::uint64_t revision, const std::string& spec)
{
    return R"({"metadata":{"name":")" + name.substr(name.find('/') + 1) + R"(","revision":)" +
           std::to_string(revision) + R"(},"spec":)" + spec + "}";
}

// Returns a number from a query such as watch=12&waitMs=2000.
std::uint64_t query_number(const std::string& query, const std::string& key)
{
    const auto found = query.find(key + "=");
    return found == std::string::npos ? 0 : std::stoull("0" + query.substr(found + key.size() + 1));
}

} // namespace

object_store::object_store() : port([this](connection& peer) { this->serve(peer); }) {}

std::string object_store::address() const
{
    return this->port.address();
}

void object_store::add_change(const std::string& name, const std::string& spec, bool deleted)
{
    ++this->revision;
    this->changes.push_back({this->revision, name, spec, deleted});
    if (deleted) {
        this->objects.erase(name);
    } else {
        this->objects[name] = {this->revision, spec};
    }
    this->changed.notify_all();
}

steady_time object_store::put(const std::string& name, const std::string& spec)
{
    const std::lock_guard lock(this->mutex);
    this->add_change(name, spec, false);
    return std::chrono::steady_clock::now();
}

void object_store::remove(const std::string& name)
{
    const std::lock_guard lock(this->mutex);
    this->add_change(name, "{}", true);
}

void object_store::serve(connection& peer)
{
    while (const auto request = peer.read_request()) {
        if (!peer.send(this->answer(*request))) {
            return;
        }
    }
}

std::string object_store::answer(const http_message& request)
{
    const auto path = request.path();
    if (!path.starts_with(objects_path)) {
        return make_response(status_not_found, json_type, "{}");
    }
    const auto question_mark = path.find('?');
    const auto name = path.substr(objects_path.size(), question_mark - objects_path.size());
    const auto query = question_mark == std::string::npos ? std::string{} : path.substr(question_mark + 1);
    if (request.method() == "GET" && query.starts_with("watch=")) {
        return this->watch(name, query);
    }
    const std::lock_guard lock(this->mutex);
    if (request.method() == "GET" && name.find('/') == std::string::npos) {
        return make_response(status_ok, json_type, this->list(name));
    }
    if (request.method() == "GET") {
        const auto found = this->objects.find(name);
        return found == this->objects.end()
                   ? make_response(status_not_found, json_type, "{}")
                   : make_response(
                         status_ok, json_type, to_json(name, found->second.revision, found->second.spec));
    }
    return request.method() == "DELETE" ? this->remove_if_current(name) : this->write(request, name);
}

std::string object_store::list(const std::string& kind)
{
    std::string items;
    for (const auto& [name, object] : this->objects) {
        if (name.starts_with(kind + "/")) {
            items += (items.empty() ? "" : ",") + to_json(name, object.revision, object.spec);
        }
    }
    return R"({"items":[)" + items + R"(],"hasMore":false,"storeRevision":)" +
           std::to_string(this->revision) + "}";
}

std::string object_store::watch(const std::string& kind, const std::string& query)
{
    const auto since = query_number(query, "watch");
    const auto deadline =
        std::chrono::steady_clock::now() + std::chrono::milliseconds{query_number(query, "waitMs")};
    std::unique_lock lock(this->mutex);
    std::string events;
    const auto has_events = [&] {
        events.clear();
        for (const auto& change : this->changes) {
            if (change.revision > since && change.name.starts_with(kind + "/")) {
                events += std::string{events.empty() ? "" : ","} + R"({"deleted":)" +
                          (change.deleted ? "true" : "false") + R"(,"object":)" +
                          to_json(change.name, change.revision, change.spec) + "}";
            }
        }
        return !events.empty();
    };
    this->changed.wait_until(lock, deadline, has_events);
    return make_response(status_ok,
                         json_type,
                         R"({"events":[)" + events + R"(],"storeRevision":)" +
                             std::to_string(this->revision) + "}");
}

// POST creates an object in a kind; PUT replaces one if its revision is the expected one.
std::string object_store::write(const http_message& request, const std::string& name)
{
    const auto body = nlohmann::json::parse(request.body);
    const auto& metadata = body.at("metadata");
    const bool is_creation = request.method() == "POST";
    const auto full_name = is_creation ? name + "/" + metadata.at("name").get<std::string>() : name;
    const auto found = this->objects.find(full_name);
    const bool exists = found != this->objects.end();
    const auto current = exists ? found->second.revision : 0;
    if (!is_creation && !exists) {
        return make_response(status_not_found, json_type, "{}");
    }
    if (is_creation ? exists : metadata.value("revision", current) != current) {
        return make_response(status_conflict, json_type, to_json(full_name, current, found->second.spec));
    }
    const auto spec = body.at("spec").dump();
    if (!exists || found->second.spec != spec) {
        this->add_change(full_name, spec, false);
    }
    return make_response(is_creation ? status_created : status_ok,
                         json_type,
                         to_json(full_name, this->objects[full_name].revision, spec));
}

std::string object_store::remove_if_current(const std::string& name)
{
    const auto found = this->objects.find(name);
    if (found == this->objects.end()) {
        return make_response(status_not_found, json_type, "{}");
    }
    this->add_change(name, "{}", true);
    return make_response(status_ok, json_type, to_json(name, this->revision, "{}"));
}

} // namespace review
