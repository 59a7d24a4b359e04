#pragma once

#include <string>

namespace tanager {

// The member and work class that a sample belongs to. Both come from the catalogue, which bounds the number
// of series.
struct metric_labels {
    std::string member;
    std::string work_class;

    friend auto operator<=>(const metric_labels&, const metric_labels&) = default;
};

} // namespace tanager
