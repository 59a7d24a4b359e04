#include "logging/logging_invariant_monitor.h"

#include "logging/event_log.h"

namespace tanager {

void logging_invariant_monitor::record_violation(invariant which, std::string_view detail)
{
    ++this->violations[which];
    write_event(log_event::invariant_violated,
                {{"invariant", std::string{name_of(which)}}, {"detail", std::string{detail}}});
}

const std::map<invariant, std::uint64_t>& logging_invariant_monitor::counts() const
{
    return this->violations;
}

} // namespace tanager
