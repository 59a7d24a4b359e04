#pragma once

#include "agent/answer_stream.h"
#include "agent/attempt_registry.h"
#include "agent/claim_window_tracker.h"
#include "agent/types/dispatched_attempt.h"
#include "base/clock.h"
#include "base/sink.h"
#include "catalogue/catalogue.h"
#include "metrics/metrics_registry.h"
#include "quarantine/crash_history.h"

#include <cstdint>
#include <memory>

namespace tanager {

// Whether this agent accepts new attempts at all, whichever member or request they are for.
class agent_availability {
public:
    // Fails with the reason why new attempts are refused: agent_leaving (leaving or draining),
    // agent_not_ready (no catalogue entry for this host) or backend_unreachable.
    result<void> check_accepts_work() const;

    // `has_entry` is whether the catalogue has an entry for this agent's host.
    void set_has_catalogue(bool has_entry);

    // Marks the agent as leaving, which is final for this process.
    void set_shutting_down();

    // `down` is whether nothing listens at the backend server's address.
    void set_backend_down(bool down);

    // Starts or ends a drain by an operator.
    void set_draining(bool is_draining);

    // Returns whether the catalogue has an entry for this host, the backend server is up and no drain is set.
    bool is_ready() const;

    // Returns whether the process is leaving. A drain does not count as leaving.
    bool is_leaving() const;

private:
    bool has_catalogue_entry = false;
    bool leaving = false;
    bool draining = false;
    bool backend_down = false;
};

// Refuses an attempt that has not been dispatched to the backend server: records it as not run and answers
// with `cause`.
void refuse_attempt(const dispatched_attempt& work,
                    attempt_registry& registry,
                    metrics_registry& metrics,
                    const error& cause);

// First filter: refuses attempts that are addressed to another agent process, repeated, claimed in an expired
// window or quarantined, and every attempt while the agent accepts no work.
class admission_filter final : public sink<dispatched_attempt> {
public:
    admission_filter(std::uint64_t incarnation,
                     const agent_availability& availability,
                     const claim_window_tracker& windows,
                     const crash_history& crashes,
                     attempt_registry& registry,
                     metrics_registry& metrics,
                     sink<dispatched_attempt>& next);

    void accept(dispatched_attempt work) override;

private:
    result<void> check(const dispatched_attempt& work) const;

    std::uint64_t incarnation;
    const agent_availability& availability;
    const claim_window_tracker& windows;
    const crash_history& crashes;
    attempt_registry& registry;
    metrics_registry& metrics;
    sink<dispatched_attempt>& next;
};

} // namespace tanager
