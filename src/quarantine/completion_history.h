// Remembers when servers last completed requests with a prompt part.
#pragma once

#include "base/clock.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

namespace tanager {

// Holds the parts that were completed last, at least `min_parts` and at most twice as many.
class completion_history {
public:
    explicit completion_history(std::size_t min_parts);

    void record(std::uint64_t part, time_point now);

    // Returns nothing if the part is unknown or was dropped.
    std::optional<time_point> last_completion(std::uint64_t part) const;

private:
    using completion_times = std::unordered_map<std::uint64_t, time_point>;

    std::size_t min_parts;
    completion_times recent;
    completion_times older;
};

} // namespace tanager
