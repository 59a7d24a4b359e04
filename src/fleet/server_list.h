// Keeps the backend servers that may be given requests, from the list in the store.
#pragma once

#include "base/clock.h"
#include "fleet/types/backend_server.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace tanager {

// One entry of a change to the list: the current state of a server, or its removal.
struct server_change {
    std::string id;
    std::optional<backend_server> current; // empty for a removal
};

// What the list says of a server.
enum class listing_state {
    ready,
    draining,
    missing,  // its entry is missing, and may be written again
    replaced, // a later incarnation is listed
    unlisted
};

std::string_view name_of(listing_state state);

// Load pattern: entries are added, drain and expire while the store becomes unavailable and recovers. A
// draining server takes no further requests in that incarnation. A server whose entry is missing just after
// the store has recovered may only have had its entry expire, so it is kept for a grace period; a removal at
// any other time takes effect at once. A store that comes back from a copy lists again what was removed
// since. A server may state that it leaves before the list does, or while nobody can read the list.
class server_list {
public:
    // `recovery_grace` is the time that an entry has to be written again after the store has recovered.
    server_list(const clock& time, duration recovery_grace);

    // Replaces the whole list; servers that are not in `listed` are removed.
    void replace_all(const std::vector<backend_server>& listed);

    void apply(const server_change& change);

    // Starts the grace period, when the store is reachable again after it was not.
    void note_store_recovered();

    // Starts the grace period, when the store has come back from a copy. Servers that were draining when they
    // were removed, not long before, take no requests when they are listed again in that incarnation.
    void note_store_restored();

    // Records that a server has stated that it leaves: whatever the list says, it takes no requests in that
    // incarnation. Returns what the list says of it, or nothing if the server had stated so before.
    std::optional<listing_state> record_leaving(const backend_server& server);

    // Returns the listed server at an address that was started last, other than the one with this id; null if
    // there is none.
    std::shared_ptr<const backend_server> find_other_at(const socket_address& address,
                                                        const std::string& id) const;

    // Removes the servers whose grace period is over; returns their ids.
    std::vector<std::string> expire();

    // Returns the servers of a service that take requests.
    std::vector<std::shared_ptr<const backend_server>> serving(const std::string& service) const;

    // Returns every server that takes requests.
    std::vector<std::shared_ptr<const backend_server>> serving() const;

    // Returns the ids of all servers in the list, draining ones included.
    std::set<std::string> ids() const;

    bool takes_work(const std::string& id) const;

    // Changes whenever a server is added, removed or changed.
    std::uint64_t generation() const;

    // Returns the server if it takes requests, else null.
    std::shared_ptr<const backend_server> find(const std::string& id) const;

private:
    struct listed_server {
        std::shared_ptr<const backend_server> server;
        bool is_draining = false;             // stays set for the incarnation
        std::optional<time_point> expires_at; // set while the entry is missing from the store
    };

    // A server that was draining when it was removed.
    struct retired_server {
        std::shared_ptr<const backend_server> server;
        time_point removed_at;
    };

    // A server that has stated that it leaves.
    struct leaving_server {
        std::shared_ptr<const backend_server> server;
        time_point last_known_at; // when it stated so, or was last listed
    };

    listing_state state_of(const backend_server& server) const;
    bool has_stated_leaving(const backend_server& server) const;
    void drop_old_statements();
    void put(const backend_server& server);
    void erase(const std::string& id);
    bool is_retired(const backend_server& server) const;
    void remove(const std::string& id);

    const clock& time;
    duration recovery_grace;
    time_point recovery_grace_until;
    std::uint64_t changes = 0;
    std::map<std::string, listed_server> servers;
    std::map<std::string, retired_server> retired; // by id; kept for as long as a copy may be old
    std::map<std::string, leaving_server> leaving; // by id
    bool is_restored = false;
};

} // namespace tanager
