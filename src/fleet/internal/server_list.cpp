#include "fleet/server_list.h"

namespace tanager {

namespace {

// A copy of the store is some seconds old. A later return of an entry is not due to a copy.
constexpr std::chrono::seconds max_copy_age{60};

// A server that leaves ends within minutes, and its entry with it.
constexpr std::chrono::hours max_statement_age{1};

bool is_same_incarnation(const backend_server& one, const backend_server& other)
{
    return one.incarnation == other.incarnation && one.address == other.address;
}

} // namespace

std::string_view name_of(listing_state state)
{
    switch (state) {
    case listing_state::ready:
        return "ready";
    case listing_state::draining:
        return "draining";
    case listing_state::missing:
        return "missing";
    case listing_state::replaced:
        return "replaced";
    case listing_state::unlisted:
        return "unlisted";
    }
    return "unlisted";
}

server_list::server_list(const clock& time, duration recovery_grace)
    : time(time), recovery_grace(recovery_grace), recovery_grace_until(time.now())
{
}

void server_list::replace_all(const std::vector<backend_server>& listed)
{
    std::set<std::string> present;
    for (const auto& server : listed) {
        present.insert(server.id);
        this->put(server);
    }
    std::vector<std::string> missing;
    for (const auto& [id, row] : this->servers) {
        if (!present.contains(id)) {
            missing.push_back(id);
        }
    }
    for (const auto& id : missing) {
        this->remove(id);
    }
}

void server_list::apply(const server_change& change)
{
    if (change.current) {
        this->put(*change.current);
    } else {
        this->remove(change.id);
    }
}

void server_list::put(const backend_server& server)
{
    ++this->changes;
    auto& row = this->servers[server.id];
    const bool is_known = row.server != nullptr && is_same_incarnation(*row.server, server);
    row.is_draining = is_known ? row.is_draining : this->is_retired(server);
    row.expires_at.reset();
    if (row.server == nullptr || *row.server != server) {
        row.server = std::make_shared<const backend_server>(server);
    }
    row.is_draining = row.is_draining || server.is_draining || this->has_stated_leaving(server);
}

void server_list::remove(const std::string& id)
{
    const auto found = this->servers.find(id);
    if (found == this->servers.end()) {
        return;
    }
    const bool may_have_expired = this->time.now() < this->recovery_grace_until && !found->second.is_draining;
    if (!may_have_expired) {
        this->erase(id);
    } else if (!found->second.expires_at) {
        found->second.expires_at = this->recovery_grace_until;
    }
}

void server_list::erase(const std::string& id)
{
    const auto now = this->time.now();
    std::erase_if(this->retired, [&](const auto& row) { return now - row.second.removed_at > max_copy_age; });
    const auto& row = this->servers.at(id);
    if (row.is_draining) {
        this->retired.insert_or_assign(id, retired_server{row.server, now});
    }
    const auto stated = this->leaving.find(id);
    if (stated != this->leaving.end()) {
        stated->second.last_known_at = now;
    }
    ++this->changes;
    this->servers.erase(id);
    this->drop_old_statements();
}

bool server_list::is_retired(const backend_server& server) const
{
    const auto found = this->retired.find(server.id);
    return this->is_restored && found != this->retired.end() &&
           this->time.now() - found->second.removed_at <= max_copy_age &&
           is_same_incarnation(*found->second.server, server);
}

void server_list::note_store_restored()
{
    this->is_restored = true;
    this->note_store_recovered();
}

void server_list::note_store_recovered()
{
    this->recovery_grace_until = this->time.now() + this->recovery_grace;
}

std::optional<listing_state> server_list::record_leaving(const backend_server& server)
{
    const auto state = this->state_of(server);
    // A late answer of an earlier incarnation does not replace the statement of the listed one.
    const bool has_listed_stated =
        state == listing_state::replaced && this->has_stated_leaving(*this->servers.at(server.id).server);
    if (has_listed_stated || this->has_stated_leaving(server)) {
        return std::nullopt;
    }
    this->leaving.insert_or_assign(
        server.id, leaving_server{std::make_shared<const backend_server>(server), this->time.now()});
    if (state != listing_state::replaced && state != listing_state::unlisted) {
        ++this->changes;
        this->servers.at(server.id).is_draining = true;
    }
    this->drop_old_statements();
    return state;
}

listing_state server_list::state_of(const backend_server& server) const
{
    const auto found = this->servers.find(server.id);
    if (found == this->servers.end()) {
        return listing_state::unlisted;
    }
    if (!is_same_incarnation(*found->second.server, server)) {
        return listing_state::replaced;
    }
    if (found->second.expires_at) {
        return listing_state::missing;
    }
    return found->second.server->is_draining ? listing_state::draining : listing_state::ready;
}

bool server_list::has_stated_leaving(const backend_server& server) const
{
    const auto found = this->leaving.find(server.id);
    return found != this->leaving.end() && is_same_incarnation(*found->second.server, server);
}

void server_list::drop_old_statements()
{
    const auto now = this->time.now();
    std::erase_if(this->leaving, [&](const auto& row) {
        return now - row.second.last_known_at > max_statement_age && !this->servers.contains(row.first);
    });
}

std::shared_ptr<const backend_server> server_list::find_other_at(const socket_address& address,
                                                                 const std::string& id) const
{
    std::shared_ptr<const backend_server> found;
    for (const auto& [other, row] : this->servers) {
        if (other != id && row.server->address == address &&
            (found == nullptr || found->incarnation < row.server->incarnation)) {
            found = row.server;
        }
    }
    return found;
}

std::vector<std::string> server_list::expire()
{
    std::vector<std::string> expired;
    const auto now = this->time.now();
    for (const auto& [id, row] : this->servers) {
        if (row.expires_at && *row.expires_at <= now) {
            expired.push_back(id);
        }
    }
    for (const auto& id : expired) {
        this->erase(id);
    }
    return expired;
}

std::vector<std::shared_ptr<const backend_server>> server_list::serving(const std::string& service) const
{
    std::vector<std::shared_ptr<const backend_server>> found;
    for (const auto& [id, row] : this->servers) {
        if (!row.is_draining && row.server->service == service) {
            found.push_back(row.server);
        }
    }
    return found;
}

std::vector<std::shared_ptr<const backend_server>> server_list::serving() const
{
    std::vector<std::shared_ptr<const backend_server>> found;
    for (const auto& [id, row] : this->servers) {
        if (!row.is_draining) {
            found.push_back(row.server);
        }
    }
    return found;
}

std::shared_ptr<const backend_server> server_list::find(const std::string& id) const
{
    const auto found = this->servers.find(id);
    return found == this->servers.end() || found->second.is_draining ? nullptr : found->second.server;
}

std::set<std::string> server_list::ids() const
{
    std::set<std::string> found;
    for (const auto& [id, row] : this->servers) {
        found.insert(id);
    }
    return found;
}

std::uint64_t server_list::generation() const
{
    return this->changes;
}

bool server_list::takes_work(const std::string& id) const
{
    const auto found = this->servers.find(id);
    return found != this->servers.end() && !found->second.is_draining;
}

} // namespace tanager
