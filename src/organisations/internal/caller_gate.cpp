#include "organisations/caller_gate.h"

#include <string>

namespace tanager {

namespace {

// Part of the revocation time that is kept for what the age of a confirmation does not show: its way between
// two gateways, which takes milliseconds within a site.
constexpr double transit_ratio = 0.05;
// With this part of the revocation time, a gateway whose store has just gone away still has over half of it:
// the last answer was asked for up to one wait earlier, and the next one is up to one wait away.
constexpr double watch_wait_ratio = 0.2;

duration scale(std::chrono::milliseconds span, double ratio)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>{span} * ratio);
}

std::string describe_age(std::optional<time_point> current_as_of, time_point now)
{
    if (!current_as_of) {
        return "the configuration was never confirmed";
    }
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - *current_as_of);
    return "the configuration was last confirmed as of " + std::to_string(age.count()) + " ms ago";
}

} // namespace

caller_gate::caller_gate(const caller_gate_settings& settings) : settings(settings) {}

result<caller_identity> caller_gate::identify(const organisation_directory& directory,
                                              const caller_claim& claim,
                                              std::optional<time_point> current_as_of) const
{
    const bool is_current = this->is_current(current_as_of, claim.received);
    const auto* const found = claim.key.empty() ? nullptr : directory.find_by_key(claim.key);
    if (found != nullptr && (is_current || !this->settings.fail_closed)) {
        return caller_identity{found->name, found->priority};
    }
    if (!claim.needs_key) {
        return caller_identity{};
    }
    if (!is_current) {
        return fail(result_code::configuration_outdated, describe_age(current_as_of, claim.received));
    }
    if (!claim.key.empty() && !directory.is_complete()) {
        return fail(result_code::configuration_outdated,
                    "the key may be one that was passed over in the configuration");
    }
    return fail(result_code::caller_unknown, claim.key.empty() ? "no key" : "no organisation has this key");
}

bool caller_gate::is_current(std::optional<time_point> current_as_of, time_point now) const
{
    return current_as_of && now - *current_as_of < scale(this->settings.revocation, 1 - transit_ratio);
}

std::chrono::milliseconds caller_gate::max_watch_wait() const
{
    return std::chrono::floor<std::chrono::milliseconds>(scale(this->settings.revocation, watch_wait_ratio));
}

} // namespace tanager
