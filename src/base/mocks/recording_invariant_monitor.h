#pragma once

#include "base/invariant_monitor.h"

#include <string>
#include <vector>

namespace tanager {

// Stores violations so that a test can check them.
class recording_invariant_monitor final : public invariant_monitor {
public:
    void record_violation(invariant which, std::string_view detail) override
    {
        this->violations.emplace_back(std::string{name_of(which)} + ": " + std::string{detail});
    }

    std::vector<std::string> violations;
};

} // namespace tanager
