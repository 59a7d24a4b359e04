#pragma once

#include "agent/internal/admission_filter.h"
#include "catalogue/catalogue.h"
#include "limits/share_limiter.h"

#include <string>

namespace tanager {

// Derives this agent's member shares, readiness and drain from the catalogue.
class agent_catalogue_applier {
public:
    agent_catalogue_applier(std::string host,
                            const catalogue& local_catalogue,
                            share_limiter& limiter,
                            agent_availability& availability);

    // Must be called after each change of the catalogue.
    void apply();

private:
    std::string host;
    const catalogue& local_catalogue;
    share_limiter& limiter;
    agent_availability& availability;
};

} // namespace tanager
