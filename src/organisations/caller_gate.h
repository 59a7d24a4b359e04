// Decides whose request it is, and whether it may run.
#pragma once

#include "base/clock.h"
#include "base/types/result.h"
#include "organisations/organisation_directory.h"

#include <optional>
#include <string_view>

namespace tanager {

// What is known of a caller when its request is checked.
struct caller_claim {
    std::string_view key; // empty without one
    bool needs_key = true;

    friend bool operator==(const caller_claim&, const caller_claim&) = default;
};

// Load pattern: each request of every organisation is checked when it arrives and before each attempt, so a
// check is one lookup without a copy of the table.
class caller_gate {
public:
    // Fails with caller_unknown if no organisation has the key, and with configuration_outdated if that is
    // not certain. A request that needs no key never fails; it has an organisation if its key is known.
    static result<caller_identity> identify(const organisation_directory& directory,
                                            const caller_claim& claim);
};

} // namespace tanager
