// Safety invariants that the programs check at run time.
#pragma once

#include <string_view>

namespace tanager {

// The checked invariants. Logs and metrics show their names.
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

    // Records a violation. The caller then continues on its safe path.
    virtual void record_violation(invariant which, std::string_view detail) = 0;

    // Records a violation if `holds` is false. Returns `holds`.
    bool check(bool holds, invariant which, std::string_view detail)
    {
        if (!holds) {
            this->record_violation(which, detail);
        }
        return holds;
    }
};

} // namespace tanager
