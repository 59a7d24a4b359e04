#include "base/invariant_monitor.h"

namespace tanager {

std::string_view name_of(invariant which)
{
    switch (which) {
    case invariant::answer_belongs_to_caller:
        return "answer_belongs_to_caller";
    case invariant::answer_is_contiguous:
        return "answer_is_contiguous";
    case invariant::share_never_exceeded:
        return "share_never_exceeded";
    case invariant::attempt_runs_once:
        return "attempt_runs_once";
    case invariant::not_run_never_ran:
        return "not_run_never_ran";
    case invariant::configuration_never_reverts:
        return "configuration_never_reverts";
    case invariant::non_idempotent_never_retried:
        return "non_idempotent_never_retried";
    }
    return "unlisted";
}

} // namespace tanager
