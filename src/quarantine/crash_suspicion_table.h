// Keeps the requests under which backend servers have ended, and decides which are quarantined.
#pragma once

#include "base/clock.h"
#include "quarantine/types/crash_suspicion.h"

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace tanager {

// Load pattern: a request ends each server that begins to run it, and its caller sends it again, at any
// gateway, under another id. Requests that ran beside it are suspected, too, and are cleared when a server
// completes them. Suspicions from several gateways can be merged in any order and any number of times.
class crash_suspicion_table {
public:
    // A suspicion counts for `retention` after the last server ended under the request.
    crash_suspicion_table(const clock& time, duration retention);

    // Records that a server ended under a request. Returns whether that was new.
    bool record_end(std::uint64_t fingerprint, const server_end& end);

    // Clears a request that a server has completed. Returns whether it was suspected.
    bool clear(std::uint64_t fingerprint);

    // Takes over what another gateway knows. Returns whether anything was new.
    bool merge(const crash_suspicion& received);

    // Returns for how long a request is still quarantined, and 0 if it is not. `pending` are servers that may
    // have ended under it.
    duration quarantine_left(std::uint64_t fingerprint, const std::vector<server_end>& pending) const;

    // Returns what is known of a request.
    std::optional<crash_suspicion> find(std::uint64_t fingerprint) const;

    // Returns at most `max_count` suspicions: quarantined requests first, and of the others those that have
    // changed last.
    std::vector<crash_suspicion> most_relevant(std::size_t max_count) const;

    // Returns the number of quarantined requests.
    std::size_t quarantined_count() const;

    bool is_empty() const;

    void remove_expired();

private:
    struct suspected_request {
        std::uint64_t clearances = 0;
        std::vector<server_end> ends;
        time_point changed_at;
    };

    static bool is_quarantined(const std::vector<server_end>& ends);
    static bool add_end(std::vector<server_end>& ends, const server_end& end);
    crash_suspicion to_suspicion(std::uint64_t fingerprint, const suspected_request& request) const;
    void drop_least_relevant();

    const clock& time;
    duration retention;
    std::map<std::uint64_t, suspected_request> requests;
};

} // namespace tanager
