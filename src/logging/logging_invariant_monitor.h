#pragma once

#include "base/invariant_monitor.h"

#include <cstdint>
#include <map>

namespace tanager {

// Writes each violation as a numbered event and counts it for /metrics.
class logging_invariant_monitor final : public invariant_monitor {
public:
    void record_violation(invariant which, std::string_view detail) override;

    // Returns the violations so far by invariant.
    const std::map<invariant, std::uint64_t>& counts() const;

private:
    std::map<invariant, std::uint64_t> violations;
};

} // namespace tanager
