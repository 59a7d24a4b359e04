// Delays a request's failure until the entries have recorded the crash report.
#pragma once

#include "base/clock.h"
#include "quarantine/types/crash_report.h"

#include <cstdint>
#include <functional>
#include <list>
#include <set>
#include <vector>

namespace tanager {

// Load pattern: a caller resends a request that crashes engines through another entry as soon as it receives
// the failure. The failure is therefore sent only when every connected entry has confirmed the crash report,
// so that no resend reaches an entry before the report. Entries that disconnect or do not confirm within the
// timeout are no longer waited for.
class crash_confirmations {
public:
    crash_confirmations(const clock& time, duration timeout);

    // Calls `on_confirmed` once, when each of `entries` has confirmed, has disconnected, or has timed out.
    // Calls it at once if `entries` is empty.
    void await_confirmations(const crash_report& report,
                             std::set<std::uint64_t> entries,
                             std::function<void()> on_confirmed);

    // Records that an entry has confirmed a report.
    void confirm(std::uint64_t entry, const crash_report& report);

    // Stops waiting for an entry that has disconnected.
    void drop_entry(std::uint64_t entry);

    // Completes the reports that have waited for the timeout.
    void expire();

    std::size_t waiting() const;

private:
    struct pending_report {
        crash_report report;
        std::set<std::uint64_t> unconfirmed_entries;
        time_point expires_at;
        std::function<void()> on_confirmed;
    };

    void complete_confirmed();

    const clock& time;
    duration timeout;
    std::list<pending_report> pending;
};

} // namespace tanager
