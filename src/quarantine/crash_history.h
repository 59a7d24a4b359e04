// Remembers which requests were running when backend servers crashed.
#pragma once

#include "base/clock.h"
#include "quarantine/types/crash_report.h"

#include <cstdint>
#include <map>
#include <vector>

namespace tanager {

// Reports are exchanged between all processes; recording one twice changes nothing, and their order does not
// matter.
class crash_history {
public:
    // A report counts for `memory` after it was recorded here.
    crash_history(const clock& time, duration retention);

    // Returns whether the report is new here, so that it should be passed on.
    bool record(const crash_report& report);

    // Records that a request finished while it ran alone, so it did not cause the crashes it was there at.
    void clear_request(std::uint64_t fingerprint);

    quarantine_verdict verdict_of(std::uint64_t fingerprint) const;

    // Returns the newest reports, for a peer that may not have them.
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
