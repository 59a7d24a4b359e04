// Plans how many engines of a service prefill prompts and how many decode.
#pragma once

#include "roles/types/role_types.h"

#include <optional>
#include <vector>

namespace tanager {

// Returns the next role change, if one is worth while. Load pattern: the mix of long prompts and long outputs
// changes within seconds, and a role change makes an engine unavailable for seconds. The split is therefore
// planned for the peak instead of following the load. It balances the capacity of prefill and decode engines
// for long prompts, less the slots that long outputs hold at their peak. An engine is changed only if that
// raises the smaller of the two capacities by the minimum gain, and while the other engines can serve the
// demand. One engine is changed at a time: the one with the fewest long outputs, then the fewest running
// requests.
//
// Where a decode engine cannot prefill a prompt within the gap objective of its streams, it only decodes. Too
// few prefill engines then leave decode engines idle in an overload that lasts until roles change: decode
// engines that are not needed to decode are changed under load, too, and several at a time.
std::optional<role_change> plan_role_change(const std::vector<engine_state>& engines,
                                            const role_demand& demand,
                                            const role_policy& policy);

// Returns how many long prompts a second a split can serve.
double served_prompts(std::size_t prefill_engines,
                      std::size_t decode_engines,
                      double slots_per_engine,
                      const role_demand& demand);

} // namespace tanager
