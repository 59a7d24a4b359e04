// Counts of the requests that began to run, by organisation and window of true time.
#pragma once

#include "base/clock.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace tanager {

// Number of a window since the start of 1970.
using window_number = std::uint64_t;

using organisation_counts = std::map<std::string, std::uint64_t>;

// A count that only grows: the latest value replaces earlier ones.
struct usage_entry {
    window_number window = 0;
    std::string organisation;
    std::uint64_t count = 0;

    friend bool operator==(const usage_entry&, const usage_entry&) = default;
};

// The counts of one window of all gateways, as they are or were reported.
struct window_usage {
    window_number window = 0;
    organisation_counts counts;

    friend bool operator==(const window_usage&, const window_usage&) = default;
};

// Windows and times of the reports, from the platform's settings.
struct usage_windows {
    std::chrono::milliseconds length{5'000};
    std::chrono::milliseconds max_delay{10'000}; // from the end of a window until its report is due
    double tolerance = 0.05;                     // by which a reported count may differ from the truth

    friend bool operator==(const usage_windows&, const usage_windows&) = default;
};

// Returns the window that a time lies in.
inline window_number window_of(const usage_windows& windows, wall_time_point time)
{
    const auto since_1970 = std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch());
    return since_1970.count() < 0 ? 0
                                  : static_cast<window_number>(since_1970.count() / windows.length.count());
}

// Returns when a window ends.
inline wall_time_point end_of(const usage_windows& windows, window_number window)
{
    return wall_time_point{windows.length * static_cast<std::int64_t>(window + 1)};
}

} // namespace tanager
