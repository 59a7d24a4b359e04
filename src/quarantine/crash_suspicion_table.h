// Keeps the traits of requests under which backend servers have ended, and decides which are quarantined.
#pragma once

#include "base/clock.h"
#include "quarantine/completion_history.h"
#include "quarantine/types/crash_suspicion.h"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace tanager {

// Load pattern: a request ends each server that begins to run it, and its caller sends it again, at any
// gateway, under another id; or requests that are all different end servers because of one part of their
// prompts. Traits of requests that ran beside them, and their other parts, are suspected, too. A server that
// completes a request excuses ends of its traits, and a trait is not quarantined for ends that one with more
// of them explains; a content under which enough servers ended is quarantined even so. An end is never
// forgotten, only excused. Suspicions from several gateways can be merged in any order and any number of
// times.
class crash_suspicion_table {
public:
    // A suspicion counts for `retention` after the last server ended under the trait.
    crash_suspicion_table(const clock& time, duration retention);

    // Records that a server ended under a request with this trait. Returns whether that was new; it is not if
    // a server has completed another request with this prompt part since the request was sent.
    bool record_end(const request_trait& trait, const server_end& end);

    // Excuses ends under a trait of a request that a server has completed: all of a prompt part, since many
    // requests have it; the oldest one of a content, since a request may end its servers only now and then.
    // Returns whether there was any.
    bool excuse(const request_trait& trait);

    // Takes over what another gateway knows. Returns whether anything was new.
    bool merge(const crash_suspicion& received);

    // Returns for how long a trait is still quarantined, and 0 if it is not. `pending` are servers that may
    // have ended under it.
    duration quarantine_left(const request_trait& trait, const std::vector<server_end>& pending) const;

    // Returns what is known of a trait.
    std::optional<crash_suspicion> find(const request_trait& trait) const;

    // Returns at most `max_count` suspicions to repeat to others: quarantined traits first, and of the rest
    // those that follow the last ones returned, so that in time everything is repeated.
    std::vector<crash_suspicion> take_next(std::size_t max_count);

    // Returns the quarantined traits.
    const std::set<request_trait>& quarantined() const;

    bool is_empty() const;

    void remove_expired();

private:
    struct suspected_trait {
        std::uint32_t specificity = 0; // the highest of the requests that it was on
        std::vector<server_end> ends;  // in the order in which they became known
        time_point changed_at;
    };

    // A trait whose ends suffice for a quarantine, unless others explain them.
    struct quarantine_candidate {
        request_trait trait;
        std::vector<server_end> unexplained_ends;
    };

    bool is_proven(const request_trait& trait) const;
    bool is_enough(const request_trait& trait, const std::vector<server_end>& ends) const;
    static bool is_conclusive(const request_trait& trait, const std::vector<server_end>& ends);
    static bool add_end(std::vector<server_end>& ends, const server_end& end);
    static std::vector<server_end> unexcused(const suspected_trait& suspected);
    static void remove_ends(std::vector<server_end>& ends, const std::vector<server_end>& explained);
    bool is_candidate(const request_trait& trait) const;
    std::vector<quarantine_candidate> candidates() const;
    void update_quarantine();
    crash_suspicion to_suspicion(const request_trait& trait, const suspected_trait& suspected) const;
    void drop_least_relevant();

    const clock& time;
    duration retention;
    std::map<request_trait, suspected_trait> suspects;
    std::set<request_trait> quarantined_traits;
    request_trait last_taken;
    completion_history completions;
};

} // namespace tanager
