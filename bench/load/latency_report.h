// Percentiles of measured latencies.
#pragma once

#include "base/clock.h"

#include <string>
#include <vector>

namespace tanager {

class latency_report {
public:
    void add(duration value);

    // Returns the smallest sample that at least the given fraction (0 to 1) of all samples does not exceed
    // (nearest rank); 0 without samples.
    duration percentile(double fraction) const;

    std::size_t count() const;

    // Returns `name_p50_us=... name_p95_us=... name_p99_us=...`.
    std::string to_fields(const std::string& name) const;

private:
    std::vector<duration> samples;
};

} // namespace tanager
