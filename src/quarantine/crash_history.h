// Records which requests were running when backend servers crashed.
#pragma once

#include "base/clock.h"
#include "quarantine/types/crash_report.h"

#include <cstdint>
#include <map>
#include <vector>

namespace tanager {

// Reports are exchanged between all processes. Recording a report twice has no effect, and their order does
// not matter.
class crash_history {
public:
    // A report counts for `retention` after it was recorded in this process.
    crash_history(const clock& time, duration retention);

    // Returns whether the report is new and has to be forwarded.
    bool record(const crash_report& report);

    // Records that a request finished while it ran alone, so it did not cause the crashes reported for it.
    // Its reports no longer count.
    void clear_request(std::uint64_t fingerprint);

    quarantine_verdict verdict_of(std::uint64_t fingerprint) const;

    // Returns the newest reports, up to a fixed number and without cleared ones, for a process that may not
    // have them.
    std::vector<crash_report> recent() const;

    void remove_expired();

private:
    struct timed_report {
        time_point recorded_at;
        bool cleared = false;
    };

    const clock& time;
    duration retention;
    std::map<crash_report, timed_report> reports;
};

} // namespace tanager
