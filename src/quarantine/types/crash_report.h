#pragma once

#include <compare>
#include <cstdint>

namespace tanager {

// One request that was running when a backend server crashed.
struct crash_report {
    std::uint64_t crash = 0;       // id of the crash, unique over all agents
    std::uint64_t fingerprint = 0; // of the request; equal for all its resends

    friend auto operator<=>(const crash_report&, const crash_report&) = default;
};

// How a request is treated, by the crashes reported for it.
enum class quarantine_verdict {
    clean,      // no crash: run it as usual
    suspect,    // running at one crash: run it alone; if it finishes, it is cleared
    quarantined // running at two crashes: do not run it
};

} // namespace tanager
