// Waits until others know of a crash before it is answered.
#pragma once

#include "base/clock.h"
#include "quarantine/types/crash_report.h"

#include <cstdint>
#include <functional>
#include <list>
#include <set>
#include <vector>

namespace tanager {

// Load pattern: a caller sends a request that crashes engines again, through another entry, as soon as it has
// heard of the failure. Its failure is therefore told only when every connected entry has confirmed the crash
// report, so that no resend can reach an entry before the report. An entry that does not confirm in time, or
// has gone, is not waited for.
class crash_confirmations {
public:
    crash_confirmations(const clock& time, duration timeout);

    // Calls `confirmed` once: when all of `entries` have confirmed, have gone, or have been waited for in
    // vain.
    void await_confirmations(const crash_report& report,
                             std::set<std::uint64_t> entries,
                             std::function<void()> on_confirmed);

    // Records that an entry knows of a crash.
    void confirm(std::uint64_t entry, const crash_report& report);

    // An entry whose connection has ended is not waited for.
    void drop_entry(std::uint64_t entry);

    // Ends waiting that has taken longer than the patience.
    void expire();

    std::size_t waiting() const;

private:
    struct pending_report {
        crash_report report;
        std::set<std::uint64_t> unconfirmed_entries; // entries that have not confirmed
        time_point expires_at;
        std::function<void()> on_confirmed;
    };

    void complete_confirmed();

    const clock& time;
    duration timeout;
    std::list<pending_report> pending;
};

} // namespace tanager
