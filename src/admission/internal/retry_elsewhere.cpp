#include "admission/retry_elsewhere.h"

namespace tanager {

namespace {

// Callers read 0 as no delay given.
constexpr std::chrono::milliseconds immediate_retry_after{1};

} // namespace

std::optional<std::chrono::milliseconds> retry_after_elsewhere(const gateways_with_room& others)
{
    return others.able * 2 > others.all ? std::optional{immediate_retry_after} : std::nullopt;
}

} // namespace tanager
