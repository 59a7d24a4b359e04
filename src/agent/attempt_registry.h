// Remembers which attempts an agent has seen, so that none runs twice and none is wrongly called not run.
#pragma once

#include "base/clock.h"
#include "base/invariant_monitor.h"
#include "base/types/result.h"
#include "protocol/types/attempt_id.h"

#include <cstdint>
#include <deque>
#include <map>
#include <unordered_map>

namespace tanager {

// Attempts are numbered upwards by each entry process, and addressed to one agent process: what is not
// recorded here has not been dispatched here. Records are forgotten after a time; a number at or below the
// highest forgotten one is then answered cautiously, as if it had run.
class attempt_registry {
public:
    attempt_registry(const clock& time, duration retention, invariant_monitor& invariants);

    // Admits a new attempt. Fails with attempt_repeated when it was seen before, and with attempt_cancelled
    // when it was settled as not run in the meantime.
    result<void> register_attempt(const attempt_id& attempt);

    // Records that the attempt is about to be given to the backend server. Returns false when it must not be.
    bool try_mark_dispatched(const attempt_id& attempt);

    // Records that an admitted attempt was refused and will never be dispatched.
    void mark_refused(const attempt_id& attempt);

    // Forbids an attempt to start. Returns true when it has not been dispatched and now never will be.
    bool prevent_execution(const attempt_id& attempt);

    // Forgets what is older than the time to keep.
    void remove_expired();

    std::size_t size() const;

private:
    enum class attempt_state { admitted, dispatched, not_run };

    struct entry_record {
        std::map<std::uint64_t, attempt_state> attempts;
        std::uint64_t max_expired_sequence = 0;
    };

    struct aged_attempt {
        attempt_id attempt;
        time_point recorded_at;
    };

    attempt_state* find(const attempt_id& attempt);
    void record(const attempt_id& attempt, attempt_state state);

    const clock& time;
    duration retention;
    invariant_monitor& invariants;
    std::unordered_map<std::uint64_t, entry_record> entries;
    std::deque<aged_attempt> by_age;
};

} // namespace tanager
