#include "agent/internal/agent_catalogue_applier.h"

namespace tanager {

agent_catalogue_applier::agent_catalogue_applier(std::string host,
                                                 const catalogue& known,
                                                 share_limiter& ledger,
                                                 agent_availability& status)
    : host(std::move(host)), known(known), ledger(ledger), status(status)
{
}

void agent_catalogue_applier::apply()
{
    const auto placement = this->known.find_agent(this->host);
    if (!placement) {
        // A host that the catalogue no longer names has no share and takes no work.
        this->ledger.set_shares({});
        this->status.set_has_catalogue(false);
        return;
    }
    std::vector<member_usage> shares;
    for (const auto& member : this->known.members()) {
        const auto cap = member->cap_in(placement->pool->name);
        const auto share =
            cap_share_of_slot(cap, placement->pool->share_slot_count, placement->agent.share_slot);
        if (share > 0) {
            shares.push_back({member->name, share, 0});
        }
    }
    this->ledger.set_shares(shares);
    this->status.set_draining(placement->agent.draining);
    this->status.set_has_catalogue(true);
}

} // namespace tanager
