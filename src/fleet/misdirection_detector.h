// Suspends backend servers whose addresses answer that requests are misdirected (status 421).
#pragma once

#include "base/clock.h"
#include "fleet/types/backend_server.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace tanager {

// Load pattern: an address is assigned to another server before the entry in the store changes, an engine
// rejects requests while it changes its stage, or servers send a 421 that is the copy of another response,
// each of them once. A single 421 only costs its request a retry. Consecutive ones suspend the server for a
// time that doubles with each suspension; then single requests probe it until one is accepted. A suspension
// holds for the server's current entry in the store, and ends when that changes. It never takes out all
// servers of a service that have the same role.
class misdirection_detector {
public:
    using listed_server = std::shared_ptr<const backend_server>;

    explicit misdirection_detector(const clock& time);

    // Records that a server's address answered a request as misdirected. `server` is the current entry.
    // Returns whether this suspended a server that was not under suspension or probe.
    bool record_misdirected(const listed_server& server);

    // Records that a server accepted a request. Returns whether this ended its probing.
    bool record_accepted(const std::string& id);

    // Record when a request to a server is placed and when it has ended, so that a server under probe gets
    // one at a time.
    void begin_request(const std::string& id);
    void end_request(const std::string& id);

    // Returns whether a server has been suspended and has accepted no request since.
    bool is_suspected(const listed_server& server) const;

    // Returns which of the servers of a service that could otherwise take a request get none for now. None
    // are returned for a role if that would be all of its servers.
    std::set<std::string> find_suspended(const std::vector<listed_server>& available) const;

    // Drops the state of servers that are not listed and of those whose entry has changed. Returns the latter
    // that were suspected.
    std::vector<std::string> keep_only(const std::vector<listed_server>& listed);

    // Returns whether no server has a 421 that counts.
    bool is_empty() const;

private:
    struct server_state {
        listed_server entry; // an entry that changes, or is removed and added again, is another object
        unsigned consecutive = 0;
        unsigned suspensions = 0;
        bool is_suspected = false;
        bool has_begun_request = false; // since the last 421, so that an answer may be newer than that
        bool is_probe_running = false;
        time_point suspended_until;
    };

    bool gets_no_request(const listed_server& server) const;

    const clock& time;
    std::map<std::string, server_state> states;
};

} // namespace tanager
