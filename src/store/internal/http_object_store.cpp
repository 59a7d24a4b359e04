#include "store/http_object_store.h"

#include "logging/event_log.h"
#include "net/uri.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace tanager {

namespace {

constexpr int status_ok = 200;
constexpr int status_not_found = 404;
constexpr int status_conflict = 409;
constexpr std::chrono::milliseconds watch_grace{2'000}; // added to watch_wait for the call's timeout

std::string path_of(const std::string& name)
{
    return "/v1/objects/" + encode_uri_segments(name);
}

bool is_true(const nlohmann::json& object, const char* name)
{
    const auto found = object.find(name);
    return found != object.end() && found->is_boolean() && found->get<bool>();
}

result<stored_object> read_object(const nlohmann::json& json)
{
    try {
        return stored_object{json.at("name").get<std::string>(),
                             json.at("version").get<std::uint64_t>(),
                             json.value("deleted", false),
                             json.value("value", std::string{})};
    } catch (const nlohmann::json::exception& failure) {
        return fail(result_code::store_answer_malformed, std::string{"malformed object: "} + failure.what());
    }
}

// Passes over objects that cannot be read, so that the others hold.
result<object_listing> read_listing(const std::string& prefix, const std::string& body, std::uint64_t since)
{
    const auto json = nlohmann::json::parse(body, nullptr, false);
    const auto revision = json.is_object() ? json.find("revision") : json.end();
    const auto items = json.is_object() ? json.find("objects") : json.end();
    if (revision == json.end() || !revision->is_number_unsigned() || items == json.end() ||
        !items->is_array()) {
        return fail(result_code::store_answer_malformed, "malformed listing of " + prefix);
    }
    object_listing listing{since, revision->get<std::uint64_t>(), is_true(json, "whole"), {}};
    for (const auto& item : *items) {
        auto object = read_object(item);
        if (object && object->name.starts_with(prefix)) {
            listing.objects.push_back(std::move(*object));
            continue;
        }
        const auto name = item.is_object() ? item.find("name") : item.end();
        write_event(log_event::store_object_unreadable,
                    {{"prefix", prefix},
                     {"revision", std::to_string(listing.revision)},
                     {"name", name == item.end() ? "-" : name->dump()}});
    }
    return listing;
}

result<std::uint64_t> read_version(const result<std::string>& body)
{
    if (!body) {
        return tl::make_unexpected(body.error());
    }
    const auto json = nlohmann::json::parse(*body, nullptr, false);
    if (!json.is_object() || !json.contains("version")) {
        return fail(result_code::store_unavailable, "malformed answer to a write");
    }
    return json.value("version", std::uint64_t{0});
}

std::string read_text(const nlohmann::json& object, const char* name)
{
    const auto found = object.find(name);
    return found != object.end() && found->is_string() ? found->get<std::string>() : std::string{};
}

result<std::vector<listed_host>> read_hosts(const std::string& body)
{
    const auto json = nlohmann::json::parse(body, nullptr, false);
    if (!json.is_object() || !json.contains("hosts") || !json["hosts"].is_array()) {
        return fail(result_code::store_answer_malformed, "malformed host list");
    }
    std::vector<listed_host> hosts;
    for (const auto& item : json["hosts"]) {
        const auto host = item.is_object() ? read_text(item, "host") : std::string{};
        if (host.empty()) {
            write_event(log_event::store_object_unreadable, {{"prefix", "hosts"}, {"name", "-"}});
            continue;
        }
        const bool is_leaving = read_text(item, "state") == "leaving";
        hosts.push_back({host,
                         read_text(item, "data_centre"),
                         read_text(item, "group"),
                         is_leaving ? host_state::leaving : host_state::live});
    }
    return hosts;
}

} // namespace

http_object_store::http_object_store(http_client& client,
                                     socket_address platform,
                                     const object_store_limits& limits)
    : client(client), platform(std::move(platform)), limits(limits)
{
}

std::unique_ptr<http_object_store> http_object_store::create(http_client& client,
                                                             const socket_address& platform,
                                                             const object_store_limits& limits)
{
    return std::unique_ptr<http_object_store>(
        new http_object_store(client, platform, limits)); // NOLINT(*-owning-memory)
}

void http_object_store::call(const http_request& request,
                             std::chrono::milliseconds timeout,
                             response_callback callback)
{
    ++this->call_count;
    const http_call_options options{timeout, true};
    const auto on_response =
        [callback = std::move(callback)](const tl::expected<http_response, http_failure>& response) {
            if (!response) {
                callback(fail(result_code::store_unavailable, response.error().cause.detail));
            } else if (response->status == status_conflict) {
                callback(fail(result_code::version_conflict, response->body));
            } else if (response->status == status_not_found) {
                callback(fail(result_code::object_unknown, response->body));
            } else if (response->status != status_ok) {
                callback(fail(result_code::store_unavailable, "status " + std::to_string(response->status)));
            } else {
                callback(response->body);
            }
        };
    this->client.fetch(this->platform, request, options, on_response);
}

void http_object_store::list(const std::string& prefix, listing_callback callback)
{
    const http_request request{"GET", "/v1/objects?prefix=" + encode_uri_segments(prefix), {}, {}};
    this->call(
        request, this->limits.call_timeout, [prefix, callback = std::move(callback)](const auto& body) {
            if (!body) {
                callback(tl::make_unexpected(body.error()));
                return;
            }
            callback(read_listing(prefix, *body, 0));
        });
}

void http_object_store::watch(const std::string& prefix,
                              std::uint64_t since,
                              std::chrono::milliseconds max_wait,
                              listing_callback callback)
{
    const auto wait = std::min(max_wait, this->limits.watch_wait);
    const http_request request{"GET",
                               "/v1/watch?prefix=" + encode_uri_segments(prefix) + "&since=" +
                                   std::to_string(since) + "&wait_ms=" + std::to_string(wait.count()),
                               {},
                               {}};
    this->call(
        request, wait + watch_grace, [prefix, since, callback = std::move(callback)](const auto& body) {
            if (!body) {
                callback(tl::make_unexpected(body.error()));
                return;
            }
            callback(read_listing(prefix, *body, since));
        });
}

void http_object_store::get(const std::string& name, object_callback callback)
{
    const http_request request{"GET", path_of(name), {}, {}};
    this->call(request, this->limits.call_timeout, [callback = std::move(callback)](const auto& body) {
        if (!body) {
            callback(tl::make_unexpected(body.error()));
            return;
        }
        const auto json = nlohmann::json::parse(*body, nullptr, false);
        callback(json.is_object() ? read_object(json)
                                  : fail(result_code::store_answer_malformed, "malformed object"));
    });
}

void http_object_store::put(const std::string& name,
                            const std::string& value,
                            std::uint64_t expected,
                            version_callback callback)
{
    const http_request request{"PUT", path_of(name) + "?expected=" + std::to_string(expected), {}, value};
    this->call(request, this->limits.call_timeout, [callback = std::move(callback)](const auto& body) {
        callback(read_version(body));
    });
}

void http_object_store::remove(const std::string& name, std::uint64_t expected, version_callback callback)
{
    const http_request request{"DELETE", path_of(name) + "?expected=" + std::to_string(expected), {}, {}};
    this->call(request, this->limits.call_timeout, [callback = std::move(callback)](const auto& body) {
        callback(read_version(body));
    });
}

std::uint64_t http_object_store::known_era() const
{
    return 0;
}

void http_object_store::list_hosts(hosts_callback callback)
{
    const http_request request{"GET", "/v1/hosts", {}, {}};
    this->call(request, this->limits.call_timeout, [callback = std::move(callback)](const auto& body) {
        if (!body) {
            callback(tl::make_unexpected(body.error()));
            return;
        }
        callback(read_hosts(*body));
    });
}

std::uint64_t http_object_store::calls() const
{
    return this->call_count;
}

} // namespace tanager
