// Decides whose request it is, and whether it may run.
#pragma once

#include "base/clock.h"
#include "base/types/result.h"
#include "organisations/organisation_directory.h"

#include <chrono>
#include <optional>
#include <string_view>

namespace tanager {

struct caller_gate_settings {
    // A key that has been taken away must not admit a request that is sent later than `revocation` after the
    // operator's change, even if this gateway cannot learn of the change.
    bool fail_closed = false;
    // Without `fail_closed`, only says how old a configuration may be that proves a key to be unknown. The
    // default is the shortest time in which users have asked for keys to lose effect.
    std::chrono::milliseconds revocation{5'000};

    friend bool operator==(const caller_gate_settings&, const caller_gate_settings&) = default;
};

// What is known of a caller when its request is checked.
struct caller_claim {
    std::string_view key; // empty without one
    bool needs_key = true;
    time_point received; // by the clock of `current_as_of`, and not before the caller has sent the request

    friend bool operator==(const caller_claim&, const caller_claim&) = default;
};

// Load pattern: each request of every organisation is checked when it arrives and before each attempt, so a
// check is one lookup without a copy of the table. While the store is away, all gateways go on until their
// configuration is too old to vouch for a key, and admit callers again with the first confirmation.
//
// A request sent at time s by a key that was taken away at time t must not run if s > t + revocation. The
// configuration in force was the newest when the store was asked, at time c, so t > c. A request received at
// time r was sent at s <= r. If r <= c + revocation, then s < t + revocation, however long the request waits
// afterwards.
class caller_gate {
public:
    explicit caller_gate(const caller_gate_settings& settings);

    // `current_as_of` is the time at which the store, when it was asked, had no newer configuration than
    // `directory`. Fails with caller_unknown if no organisation has the key, and with configuration_outdated
    // if that, or the key, is not certain. A request that needs no key never fails; it has an organisation if
    // its key is certain.
    result<caller_identity> identify(const organisation_directory& directory,
                                     const caller_claim& claim,
                                     std::optional<time_point> current_as_of) const;

    // Returns whether a configuration that was current at `current_as_of` can vouch for keys at `now`.
    bool is_current(std::optional<time_point> current_as_of, time_point now) const;

    // Returns the longest time that a call may wait for a change of the configuration: a call that has not
    // been answered yet confirms nothing.
    std::chrono::milliseconds max_watch_wait() const;

private:
    caller_gate_settings settings;
};

} // namespace tanager
