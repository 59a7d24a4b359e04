// Decides whether this gateway should hold a duty, and when the holder may act.
#pragma once

#include "base/clock.h"
#include "duties/types/duty_types.h"

#include <optional>
#include <string>
#include <vector>

namespace tanager {

// Load pattern: gateways are killed, frozen, cut off and restarted in turn, first of all the one that holds a
// duty; the store may be slow, away, or lose answers. Who holds the duty is written in one object of the
// store, by conditional updates; the fencing token follows from the version of the last one. The holder
// confirms itself by such an update before it acts, and acts only for a short time after. A new holder waits
// until the lease of its predecessor is over, so that nothing of that one is on its way any more, and two
// never take turns within a lease. A holder that is heard of keeps its duty. Otherwise the first of the live
// gateways by name takes it, and the next ones some time later if that does not.
class duty_lease {
public:
    // `time` must go on while the host is suspended.
    duty_lease(const clock& time, const duty_settings& settings);

    // Another gateway says that it holds the duty, or that it gives it up.
    void record_holder(const std::string& holder, std::uint64_t token, bool is_resigning);

    // To be called several times a second. Returns false if a standstill ends the holding.
    bool check();

    bool should_acquire(const std::vector<std::string>& live_peers) const;
    void record_failed_attempt();

    // This gateway has become the holder. `was_held_here` tells that no other one held the duty since it did.
    void record_acquired(std::uint64_t version, time_point requested_at, bool was_held_here);

    // The holder has updated its object.
    void record_confirmed(std::uint64_t version, time_point requested_at);

    void step_down();

    bool is_holder() const;
    std::uint64_t token() const;
    std::uint64_t version() const;
    time_point held_since() const;

    // Returns whether the lease of the predecessor is over.
    bool is_predecessor_gone() const;

    // Returns whether the holder may act now: it has confirmed itself a moment ago.
    bool may_act() const;

    // Returns the name of the holder, which may be this gateway; nullopt if none is heard of.
    std::optional<std::string> holder() const;

private:
    const clock& time;
    duty_settings settings;
    bool is_held = false;
    std::uint64_t held_version = 0;
    time_point confirmed_at; // when the last successful update was requested
    time_point acts_from;
    time_point acquired_at;
    time_point checked_at;
    time_point started_at;
    time_point listening_since; // the end of the last standstill
    time_point attempt_failed_at;
    std::string other_holder; // heard of last; empty if none was
    std::uint64_t other_token = 0;
    time_point other_heard_at;
    bool has_other_resigned = false;
};

} // namespace tanager
