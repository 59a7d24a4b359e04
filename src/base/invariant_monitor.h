// Invariants that the running programs check on themselves.
#pragma once

#include <string_view>

namespace tanager {

// The promises that the programs assert; numbered for logs and metrics.
enum class invariant : int {
    answer_belongs_to_caller = 1,
    answer_is_contiguous = 2,
    share_never_exceeded = 3,
    attempt_runs_once = 4,
    not_run_never_ran = 5,
    configuration_never_reverts = 6,
    non_idempotent_never_retried = 8,
};

// Returns the stable lower-case name of an invariant.
std::string_view name_of(invariant which);

class invariant_monitor {
public:
    invariant_monitor() = default;
    invariant_monitor(const invariant_monitor&) = delete;
    invariant_monitor& operator=(const invariant_monitor&) = delete;
    invariant_monitor(invariant_monitor&&) = delete;
    invariant_monitor& operator=(invariant_monitor&&) = delete;
    virtual ~invariant_monitor() = default;

    // Records that a promise was broken; the caller then takes its safe path.
    virtual void record_violation(invariant which, std::string_view detail) = 0;

    // Records a violation unless the condition holds; returns the condition.
    bool check(bool holds, invariant which, std::string_view detail)
    {
        if (!holds) {
            this->record_violation(which, detail);
        }
        return holds;
    }
};

} // namespace tanager
