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

// Whether this agent takes new work, as a whole.
class agent_availability {
public:
    // Returns ok, or why new work is refused: agent_not_ready, agent_leaving.
    result<void> check_accepts_work() const;

    void set_has_catalogue(bool has_entry);

    // Leaving is final for this process.
    void set_shutting_down();

    // While nobody listens at the backend server's address.
    void set_backend_down(bool down);

    // An operator's drain can be taken back.
    void set_draining(bool is_draining);

    // Returns whether the process has what it needs and is not being drained.
    bool is_ready() const;

    // Returns whether the process is on its way out, which a drain is not.
    bool is_leaving() const;

private:
    bool has_catalogue_entry = false;
    bool leaving = false;
    bool draining = false;
    bool backend_down = false;
};

// Ends an attempt that has not been given to the backend server.
void refuse_attempt(const dispatched_attempt& work,
                    attempt_registry& registry,
                    metrics_registry& metrics,
                    const error& cause);

// First filter: refuses what is meant for another process, repeated, or not to be taken now.
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
