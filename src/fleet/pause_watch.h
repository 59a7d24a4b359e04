// Learns whether reading prompts makes the streams beside it pause for too long.
#pragma once

#include "base/clock.h"

#include <map>
#include <string>

namespace tanager {

// Load pattern: long answers run for seconds on engines that also read long prompts. On some engines the
// events beside a prompt still come within the objective, on others they do not; only the streams show which.
// Pauses seen while the engine had something to read are averaged by service; the average falls back when
// nothing is seen, so that reading is tried again.
class pause_watch {
public:
    explicit pause_watch(const clock& time);

    // Records the pause between two events, as a share of its objective, on an engine that had prompts to
    // read.
    void record(const std::string& service, double share_of_objective);

    // Returns whether long outputs of the service should be spared from prompts.
    bool should_spare(const std::string& service) const;

private:
    struct service_row {
        double average = 0;
        time_point since;
    };

    double faded(const service_row& row) const;

    const clock& time;
    std::map<std::string, service_row> services;
};

} // namespace tanager
