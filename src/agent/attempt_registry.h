// Records which attempts an agent has seen, so that none runs twice and none that ran is reported as not run.
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

// Each entry process numbers its attempts in ascending order and addresses each to one agent process, so an
// attempt without a record here has not been dispatched here. Records expire after `retention`. A sequence
// number at or below the highest expired one of the same entry may have run, and is treated as if it had.
class attempt_registry {
public:
    attempt_registry(const clock& time, duration retention, invariant_monitor& invariants);

    // Records a new attempt as admitted. Fails with attempt_repeated when it was seen before or its record
    // may have expired, and with attempt_cancelled when it has already been refused or resolved as not run.
    result<void> register_attempt(const attempt_id& attempt);

    // Records that the attempt is about to be dispatched to the backend server. Returns false when it must
    // not be dispatched: it is not registered, was dispatched before, or was resolved as not run.
    bool try_mark_dispatched(const attempt_id& attempt);

    // Records that a registered attempt was refused and will never be dispatched.
    void mark_refused(const attempt_id& attempt);

    // Resolves an attempt: prevents it from starting if it has not been dispatched. Returns true when it has
    // not run and never will; false when it was dispatched or its record may have expired.
    bool prevent_execution(const attempt_id& attempt);

    // Removes the records that are older than `retention`.
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
