// Decides which time of day a gateway believes.
#pragma once

#include "base/clock.h"

#include <cstddef>
#include <map>
#include <string>

namespace tanager {

// Load pattern: the time of day of some machines, or of all, jumps by seconds and may jump back; processes
// start on machines whose time is wrong. The time of day is read once, at the start; from then on it goes on
// with the steady clock, so that jumps have no effect on a running process. What gateways believe is compared
// through the holder of a duty, who hears all: it takes the median, and the others take its time if they
// differ. So a process that starts with a wrong time corrects it, and a minority is outvoted. Differences
// within `tolerance` change nothing.
class true_time {
public:
    // `time` must go on while the host is suspended.
    true_time(const clock& time, duration tolerance);

    wall_time_point now() const;

    // Another gateway has said which time it believes.
    void record_claim(const std::string& gateway, wall_time_point claimed);

    // The holder has told the median of `voters` gateways. Returns whether this gateway's time has changed.
    bool record_agreed(wall_time_point agreed, std::size_t voters);

    // Takes the median of the claims and the own time. Returns whether the own time has changed.
    bool agree();

    // Returns how many gateways' times are known, this one's included.
    std::size_t voters() const;

private:
    struct time_claim {
        duration offset{0}; // between steady clock and time of day
        time_point received_at;
    };

    static duration offset_between(time_point steady, wall_time_point wall);
    bool correct_to(duration new_offset);

    const clock& time;
    duration tolerance;
    duration offset;
    std::map<std::string, time_claim> claims;
};

} // namespace tanager
