#include "agent/internal/agent_catalogue_applier.h"

namespace tanager {

agent_catalogue_applier::agent_catalogue_applier(std::string host,
                                                 const catalogue& local_catalogue,
                                                 share_limiter& limiter,
                                                 agent_availability& availability)
    : host(std::move(host)), local_catalogue(local_catalogue), limiter(limiter), availability(availability)
{
}

void agent_catalogue_applier::apply()
{
    const auto placement = this->local_catalogue.find_agent(this->host);
    if (!placement) {
        // A host that is no longer in the catalogue has no shares and accepts no work.
        this->limiter.set_shares({});
        this->availability.set_has_catalogue(false);
        return;
    }
    std::vector<member_usage> shares;
    for (const auto& member : this->local_catalogue.members()) {
        const auto cap = member->cap_in(placement->pool->name);
        const auto share =
            cap_share_of_slot(cap, placement->pool->share_slot_count, placement->agent.share_slot);
        if (share > 0) {
            shares.push_back({member->name, share, 0});
        }
    }
    this->limiter.set_shares(shares);
    this->availability.set_draining(placement->agent.draining);
    this->availability.set_has_catalogue(true);
}

} // namespace tanager
