#include "roles/role_plan.h"

#include <algorithm>

namespace tanager {

namespace {

// Engines slow down as their slots fill up, so the plan uses only this share of them.
constexpr double planned_slot_usage = 0.75;
// A role change may make an engine unavailable while the demand is below this share of the capacity.
constexpr double max_demand_ratio = 0.8;
constexpr double milliseconds_per_second = 1000;
// Share of the gap objective for which prefill may hold up the streams of a decode engine.
constexpr double max_prefill_gap_ratio = 0.8;
// Share of the engines that may change at the same time while that costs no capacity.
constexpr double max_changing_ratio = 0.25;

struct engine_counts {
    std::size_t prefill_engines = 0;
    std::size_t decode_engines = 0;
    std::size_t changing_engines = 0;
    double slots = 0;
};

engine_counts count_engines(const std::vector<engine_state>& engines)
{
    engine_counts counts;
    for (const auto& engine : engines) {
        counts.prefill_engines += engine.role == engine_role::prefill ? 1 : 0;
        counts.decode_engines += engine.role == engine_role::decode ? 1 : 0;
        counts.changing_engines += engine.is_changing ? 1 : 0;
        counts.slots += engine.slots;
    }
    return counts;
}

const engine_state* least_loaded_engine(const std::vector<engine_state>& engines, engine_role role)
{
    const engine_state* least_loaded = nullptr;
    for (const auto& engine : engines) {
        if (engine.role != role || engine.is_changing || !engine.is_settled) {
            continue;
        }
        const bool is_less_loaded =
            least_loaded == nullptr || std::pair{engine.long_outputs, engine.running} <
                                           std::pair{least_loaded->long_outputs, least_loaded->running};
        least_loaded = is_less_loaded ? &engine : least_loaded;
    }
    return least_loaded;
}

double decoded_prompts(std::size_t decode_engines, double slots_per_engine, const role_demand& demand)
{
    const double available_slots = std::max(
        0.0,
        static_cast<double>(decode_engines) * slots_per_engine * planned_slot_usage - demand.long_outputs);
    return available_slots / demand.decode_milliseconds * milliseconds_per_second;
}

bool can_decode_engines_prefill(const role_demand& demand)
{
    return demand.gap_objective_milliseconds <= 0 ||
           demand.decode_engine_prefill_milliseconds <=
               demand.gap_objective_milliseconds * max_prefill_gap_ratio;
}

} // namespace

double served_prompts(std::size_t prefill_engines,
                      std::size_t decode_engines,
                      double slots_per_engine,
                      const role_demand& demand)
{
    const double decoded_per_second = decoded_prompts(decode_engines, slots_per_engine, demand);
    const double prefilled_per_second =
        static_cast<double>(prefill_engines) / demand.prefill_milliseconds * milliseconds_per_second;
    return std::min(prefilled_per_second, decoded_per_second);
}

std::optional<role_change> plan_role_change(const std::vector<engine_state>& engines,
                                            const role_demand& demand,
                                            const role_policy& policy)
{
    const auto counts = count_engines(engines);
    const auto total = counts.prefill_engines + counts.decode_engines;
    const bool has_unsettled_engine =
        std::ranges::any_of(engines, [](const auto& engine) { return !engine.is_settled; });
    if (total < 2 || demand.prefill_milliseconds <= 0 || demand.decode_milliseconds <= 0) {
        return std::nullopt;
    }
    const double slots = counts.slots / static_cast<double>(total);
    const auto served_with = [&](std::size_t prefill_engines) {
        return served_prompts(prefill_engines, total - prefill_engines, slots, demand);
    };
    std::size_t best_prefill_engines = counts.prefill_engines;
    for (std::size_t prefill_engines = 0; prefill_engines < total; ++prefill_engines) {
        best_prefill_engines = served_with(prefill_engines) > served_with(best_prefill_engines)
                                   ? prefill_engines
                                   : best_prefill_engines;
    }
    const bool is_gain_sufficient =
        served_with(best_prefill_engines) > served_with(counts.prefill_engines) * (1 + policy.min_gain_ratio);
    if (!is_gain_sufficient) {
        return std::nullopt;
    }
    const bool is_prefill_engine_missing = best_prefill_engines > counts.prefill_engines;
    const auto old_role = is_prefill_engine_missing ? engine_role::decode : engine_role::prefill;
    const auto new_role = is_prefill_engine_missing ? engine_role::prefill : engine_role::decode;
    // The decode engines that remain must serve the demand; those that change count as prefill engines
    // already.
    const bool is_without_loss =
        is_prefill_engine_missing && !can_decode_engines_prefill(demand) && counts.decode_engines > 0 &&
        demand.prompts_per_second <
            decoded_prompts(counts.decode_engines - 1, slots, demand) * max_demand_ratio;
    const double served_now = served_with(counts.prefill_engines);
    const bool is_demand_low = served_now <= 0 || demand.prompts_per_second < served_now * max_demand_ratio;
    const auto max_changing = std::max(1.0, static_cast<double>(total) * max_changing_ratio);
    const bool may_change = is_without_loss
                                ? static_cast<double>(counts.changing_engines) + 1 <= max_changing
                                : counts.changing_engines == 0 && !has_unsettled_engine && is_demand_low;
    if (!may_change) {
        return std::nullopt;
    }
    const auto* const chosen = least_loaded_engine(engines, old_role);
    return chosen == nullptr ? std::nullopt : std::optional{role_change{chosen->id, new_role}};
}

} // namespace tanager
