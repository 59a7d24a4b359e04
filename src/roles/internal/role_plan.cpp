#include "roles/role_plan.h"

#include <algorithm>

namespace tanager {

namespace {

// Engines slow down as they fill up, so the plan uses this share of their places.
constexpr double planned_use = 0.75;
// An engine may be away for seconds while no more than this share of what can be served comes.
constexpr double calm_share = 0.8;
constexpr double milliseconds_per_second = 1000;

struct engine_counts {
    std::size_t readers = 0;
    std::size_t generators = 0;
    double slots = 0;
};

engine_counts count_engines(const std::vector<engine_state>& engines)
{
    engine_counts counts;
    for (const auto& engine : engines) {
        counts.readers += engine.role == engine_role::prefill ? 1 : 0;
        counts.generators += engine.role == engine_role::decode ? 1 : 0;
        counts.slots += engine.slots;
    }
    return counts;
}

const engine_state* easiest_to_change(const std::vector<engine_state>& engines, engine_role role)
{
    const engine_state* easiest = nullptr;
    for (const auto& engine : engines) {
        if (engine.role != role) {
            continue;
        }
        const bool is_easier = easiest == nullptr || std::pair{engine.long_outputs, engine.running} <
                                                         std::pair{easiest->long_outputs, easiest->running};
        easiest = is_easier ? &engine : easiest;
    }
    return easiest;
}

} // namespace

double served_prompts(std::size_t readers,
                      std::size_t generators,
                      double slots_per_engine,
                      const role_demand& demand)
{
    const double places =
        std::max(0.0, static_cast<double>(generators) * slots_per_engine * planned_use - demand.long_outputs);
    const double generated = places / demand.decode_milliseconds * milliseconds_per_second;
    const double read = static_cast<double>(readers) / demand.prefill_milliseconds * milliseconds_per_second;
    return std::min(read, generated);
}

std::optional<role_change> plan_role_change(const std::vector<engine_state>& engines,
                                            const role_demand& demand,
                                            const role_policy& policy)
{
    const auto counts = count_engines(engines);
    const auto total = counts.readers + counts.generators;
    const bool is_unsettled =
        std::ranges::any_of(engines, [](const auto& engine) { return !engine.is_settled; });
    if (total < 2 || is_unsettled || demand.prefill_milliseconds <= 0 || demand.decode_milliseconds <= 0) {
        return std::nullopt;
    }
    const double slots = counts.slots / static_cast<double>(total);
    const auto served_with = [&](std::size_t readers) {
        return served_prompts(readers, total - readers, slots, demand);
    };
    std::size_t best = counts.readers;
    for (std::size_t readers = 0; readers < total; ++readers) {
        best = served_with(readers) > served_with(best) ? readers : best;
    }
    const bool is_worth_it = served_with(best) > served_with(counts.readers) * (1 + policy.least_gain);
    const double served = served_with(counts.readers);
    const bool is_calm = served <= 0 || demand.prompts_per_second < served * calm_share;
    if (!is_worth_it || !is_calm) {
        return std::nullopt;
    }
    const auto from = best > counts.readers ? engine_role::decode : engine_role::prefill;
    const auto to = best > counts.readers ? engine_role::prefill : engine_role::decode;
    const auto* const chosen = easiest_to_change(engines, from);
    return chosen == nullptr ? std::nullopt : std::optional{role_change{chosen->id, to}};
}

} // namespace tanager
