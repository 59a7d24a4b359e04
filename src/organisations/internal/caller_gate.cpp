#include "organisations/caller_gate.h"

namespace tanager {

result<caller_identity> caller_gate::identify(const organisation_directory& directory,
                                              const caller_claim& claim)
{
    const auto* const found = claim.key.empty() ? nullptr : directory.find_by_key(claim.key);
    if (found != nullptr) {
        return caller_identity{found->name, found->priority};
    }
    if (!claim.needs_key) {
        return caller_identity{};
    }
    if (!claim.key.empty() && !directory.is_complete()) {
        return fail(result_code::configuration_outdated,
                    "the key may be one that was passed over in the configuration");
    }
    return fail(result_code::caller_unknown, claim.key.empty() ? "no key" : "no organisation has this key");
}

} // namespace tanager
