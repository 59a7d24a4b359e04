#pragma once

#include <string>

namespace tanager {

// Whose work a sample belongs to. Both come from the catalogue, so their number is bounded by it.
struct metric_labels {
    std::string member;
    std::string work_class;

    friend auto operator<=>(const metric_labels&, const metric_labels&) = default;
};

} // namespace tanager
