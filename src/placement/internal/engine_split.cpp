#include "placement/internal/engine_split.h"

#include <algorithm>
#include <tuple>

namespace tanager {

namespace {

// Share of an engine's slots that long outputs may take: each one slows the decode steps of the others.
constexpr double max_long_output_slot_ratio = 0.6;
// Spare capacity for the long outputs of a lost engine, in engines.
constexpr double spare_engine_count = 0.5;

double long_output_capacity(const placement_candidate& candidate)
{
    return std::max(1.0, max_long_output_slot_ratio * candidate.server->slots);
}

} // namespace

bool takes_long_output(const placement_candidate& candidate)
{
    return candidate.long_outputs + 1 <= long_output_capacity(candidate);
}

engine_split split_engines(const std::vector<placement_candidate>& candidates,
                           const std::vector<std::size_t>& decoders)
{
    engine_split split{{}, decoders};
    const bool is_isolation_needed = std::ranges::any_of(
        decoders, [&](std::size_t index) { return candidates[index].isolate_long_outputs; });
    if (!is_isolation_needed) {
        return split;
    }
    std::ranges::sort(split.others, {}, [&](std::size_t index) {
        const auto& candidate = candidates[index];
        return std::tuple{candidate.speed,
                          candidate.is_slow,
                          -static_cast<double>(candidate.long_outputs),
                          candidate.server->id};
    });
    double required = 0;
    for (const auto index : decoders) {
        required += candidates[index].long_outputs;
    }
    double capacity = 0;
    while (split.others.size() > 1) {
        const auto& next = candidates[split.others.front()];
        if (capacity >= required + spare_engine_count * long_output_capacity(next)) {
            break;
        }
        capacity += long_output_capacity(next);
        split.isolated.push_back(split.others.front());
        split.others.erase(split.others.begin());
    }
    return split;
}

} // namespace tanager
