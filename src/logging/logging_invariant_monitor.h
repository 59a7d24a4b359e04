#pragma once

#include "base/invariant_monitor.h"

#include <cstdint>
#include <map>

namespace tanager {

// Logs each violation as the event invariant_violated and counts it for /metrics.
class logging_invariant_monitor final : public invariant_monitor {
public:
    void record_violation(invariant which, std::string_view detail) override;

    // Returns the number of violations so far by invariant.
    const std::map<invariant, std::uint64_t>& counts() const;

private:
    std::map<invariant, std::uint64_t> violations;
};

} // namespace tanager
