#include "gateway/internal/server_observer.h"

#include "fleet/server_id.h"
#include "logging/event_log.h"
#include "store/types/fencing_token.h"

#include <algorithm>

namespace tanager {

namespace {

std::string name_of_role(engine_role role)
{
    switch (role) {
    case engine_role::none:
        return "none";
    case engine_role::prefill:
        return "prefill";
    case engine_role::decode:
        return "decode";
    }
    return "unlisted";
}

} // namespace

server_observer::server_observer(const store_codec& codec, server_list& servers)
    : codec(codec), servers(servers)
{
}

bool server_observer::is_known() const
{
    return this->has_snapshot;
}

std::uint64_t server_observer::known_revision() const
{
    return this->revision;
}

watch_action server_observer::on_listing(const object_listing& listing)
{
    // A copy lacks the entries that were written after it, until their servers write them again.
    if (this->has_snapshot && era_of(listing.revision) > era_of(this->revision)) {
        this->servers.note_store_restored();
    }
    if (listing.is_snapshot) {
        this->apply_all(listing);
        this->has_snapshot = true;
    } else {
        for (const auto& object : listing.objects) {
            this->apply(object);
        }
    }
    this->revision = std::max(this->revision, listing.revision);
    return watch_action::continue_watching;
}

std::optional<backend_server> server_observer::decode(const stored_object& object) const
{
    const auto id = object.name.substr(this->codec.server_prefix().size());
    const auto server = is_server_id(id) ? this->codec.decode_server(object)
                                         : fail(result_code::object_unknown, "the name is no id of a server");
    if (!server) {
        write_event(log_event::server_entry_invalid,
                    {{"server", object.name}, {"detail", server.error().detail}});
        return std::nullopt;
    }
    return *server;
}

void server_observer::apply_all(const object_listing& listing)
{
    std::vector<backend_server> usable_servers;
    for (const auto& object : listing.objects) {
        const auto server = this->decode(object);
        if (server) {
            usable_servers.push_back(*server);
        }
        if (listing.is_incomplete) {
            this->servers.apply({object.name.substr(this->codec.server_prefix().size()), server});
        }
    }
    if (!listing.is_incomplete) {
        this->servers.replace_all(usable_servers);
    }
    write_event(log_event::server_listed,
                {{"server", "all"},
                 {"revision", std::to_string(listing.revision)},
                 {"usable", std::to_string(usable_servers.size())},
                 {"entries", std::to_string(listing.objects.size())},
                 {"complete", listing.is_incomplete ? "no" : "yes"}});
}

void server_observer::apply(const stored_object& object)
{
    const auto id = object.name.substr(this->codec.server_prefix().size());
    const auto server = object.deleted ? std::nullopt : this->decode(object);
    const bool took_work = this->servers.takes_work(id);
    this->servers.apply({id, server});
    const bool takes_work = this->servers.takes_work(id);
    if (took_work == takes_work) {
        return;
    }
    const auto event = server ? log_event::server_listed : log_event::server_unlisted;
    write_event(event,
                {{"server", id},
                 {"revision", std::to_string(object.version)},
                 {"takes_work", takes_work ? "yes" : "no"},
                 {"draining", server && server->is_draining ? "yes" : "no"},
                 {"role", server ? name_of_role(server->role) : "-"}});
}

void server_observer::on_store_unavailable(const error& /*cause*/) {}

void server_observer::on_store_recovered()
{
    this->servers.note_store_recovered();
}

} // namespace tanager
