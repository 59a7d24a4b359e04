// Decides how many engines of a service read prompts and how many generate.
#pragma once

#include "roles/types/role_types.h"

#include <optional>
#include <vector>

namespace tanager {

// Load pattern: the mix of long prompts and long outputs moves within seconds, a change of role takes an
// engine away for seconds. So the split is planned for the peak rather than followed: the readers' and the
// generators' capacity for long prompts are balanced, beside the places that long outputs hold at their peak,
// and an engine is changed only when that raises the smaller of the two by the least gain, and while the
// others can serve what comes. One engine at a time; the one with the least to finish.
std::optional<role_change> plan_role_change(const std::vector<engine_state>& engines,
                                            const role_demand& demand,
                                            const role_policy& policy);

// Returns the long prompts a second that a split can serve.
double served_prompts(std::size_t prefill_engines,
                      std::size_t decode_engines,
                      double slots_per_engine,
                      const role_demand& demand);

} // namespace tanager
