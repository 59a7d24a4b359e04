#pragma once

#include "agent/internal/admission_filter.h"
#include "catalogue/catalogue.h"
#include "limits/share_limiter.h"

#include <string>

namespace tanager {

// Turns the catalogue into this agent's shares, readiness and drain.
class share_follower {
public:
    share_follower(std::string host, const catalogue& known, share_limiter& ledger, agent_status& status);

    // Called after each change of the catalogue.
    void update();

private:
    std::string host;
    const catalogue& known;
    share_limiter& ledger;
    agent_status& status;
};

} // namespace tanager
