// Which backend servers may be given work, from the store's list.
#pragma once

#include "base/clock.h"
#include "fleet/types/backend_server.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace tanager {

// One row of a change: a server as it is now, or its removal.
struct server_change {
    std::string id;
    std::optional<backend_server> current;
};

// Load pattern: entries come, drain and lapse while the store comes and goes. A server that is known to be
// draining never takes work again in that life. A server whose entry is missing when the store has just
// returned may only have lapsed, so it is kept for a grace period; a removal at any other time counts at
// once.
class server_list {
public:
    // `return_grace` is how long an entry may take to come back after the store has returned.
    server_list(const clock& time, duration recovery_grace);

    // Replaces everything that is known.
    void replace_all(const std::vector<backend_server>& listed);

    void apply(const server_change& change);

    // Records that the store can be reached again after it could not.
    void note_store_recovered();

    // Records a server's own word, or an answer that shows that its address belongs to another one.
    void mark_draining(const std::string& id);

    // Removes the servers whose grace is over; returns their ids.
    std::vector<std::string> expire();

    // Returns the servers of a service that take work.
    std::vector<std::shared_ptr<const backend_server>> serving(const std::string& service) const;

    // Returns every server that takes work.
    std::vector<std::shared_ptr<const backend_server>> serving() const;

    // Returns the ids of all servers in the list, draining ones included.
    std::set<std::string> ids() const;

    bool takes_work(const std::string& id) const;

    // Returns a server that takes work, or null.
    std::shared_ptr<const backend_server> find(const std::string& id) const;

private:
    struct listed_server {
        std::shared_ptr<const backend_server> server;
        bool is_draining = false;
        std::optional<time_point> expires_at; // missing from the list, kept until then
    };

    void put(const backend_server& server);
    void remove(const std::string& id);

    const clock& time;
    duration recovery_grace;
    time_point recovery_grace_until;
    std::map<std::string, listed_server> servers;
};

} // namespace tanager
