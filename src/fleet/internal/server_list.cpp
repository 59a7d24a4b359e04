#include "fleet/server_list.h"

namespace tanager {

namespace {

// A copy of the store is some seconds old. A later return of an entry is not due to a copy.
constexpr std::chrono::seconds max_copy_age{60};

bool is_same_incarnation(const backend_server& one, const backend_server& other)
{
    return one.incarnation == other.incarnation && one.address == other.address;
}

} // namespace

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
    row.is_draining = row.is_draining || server.is_draining;
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
    ++this->changes;
    this->servers.erase(id);
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

void server_list::mark_draining(const std::string& id)
{
    const auto found = this->servers.find(id);
    if (found != this->servers.end()) {
        ++this->changes;
        found->second.is_draining = true;
    }
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
