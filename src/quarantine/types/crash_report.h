#pragma once

#include <compare>
#include <cstdint>

namespace tanager {

// One request that was running when a backend server crashed.
struct crash_report {
    std::uint64_t crash = 0;       // names the crash, over all agents
    std::uint64_t fingerprint = 0; // of the request; equal for each resend of it

    friend auto operator<=>(const crash_report&, const crash_report&) = default;
};

// What is to be done with a request.
enum class quarantine_verdict {
    clean,      // run it as usual
    suspect,    // it was there at one crash: run it alone, so that finishing clears it
    quarantined // it was there at two: do not run it
};

} // namespace tanager
