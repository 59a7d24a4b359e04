#include "entry/internal/catalogue_readiness.h"

#include <algorithm>

namespace tanager {

namespace {

constexpr std::size_t max_required_agents = 3;

} // namespace

catalogue_readiness::catalogue_readiness(const catalogue& local_catalogue,
                                         const agent_directory& directory,
                                         std::size_t seed_agents)
    : local_catalogue(local_catalogue),
      directory(directory),
      min_reporting_agents(std::clamp<std::size_t>(seed_agents, 1, max_required_agents))
{
}

void catalogue_readiness::set_store_read()
{
    this->is_store_read = true;
}

bool catalogue_readiness::update()
{
    if (this->is_ready || this->local_catalogue.revision() == 0) {
        return this->is_ready;
    }
    const bool is_at_reported_revision =
        this->directory.reporting_agent_count() >= this->min_reporting_agents &&
        this->local_catalogue.revision() >= this->directory.max_reported_catalogue_revision();
    this->is_ready = this->is_store_read || is_at_reported_revision;
    return this->is_ready;
}

} // namespace tanager
