#pragma once

#include "gateway/server_pool.h"
#include "peers/peer_exchange.h"
#include "roles/demand_meter.h"
#include "roles/role_order_sender.h"
#include "roles/role_plan.h"
#include "routes/route_directory.h"

#include <map>
#include <memory>
#include <optional>
#include <string>

namespace tanager {

// Changes engine roles so that each model service has the planned numbers of prefill and decode engines. Of
// the gateways that exchange load reports, only the one whose host name sorts first plans. While gateways do
// not receive each other's reports, several may plan; the lease in the store still allows orders from one of
// them only.
class role_controller {
public:
    role_controller(const clock& time,
                    std::string host,
                    const route_directory& routes,
                    server_pool& pool,
                    demand_meter& demand,
                    peer_exchange& peers,
                    std::shared_ptr<role_order_sender> orders,
                    const role_policy& policy);

    // Runs one round of planning; to be called periodically.
    void reconcile();

    // Drops the proposed change and gives up sending orders; to be called when earlier decisions may be
    // outdated, for instance after the process was suspended.
    void reset();

private:
    struct role_change_in_progress {
        engine_role role = engine_role::none;
        time_point until;
    };

    bool is_leader() const;
    void finish_changes();
    void end_change(const std::string& engine_id, const std::string& outcome);
    void announce_changes();
    void plan_for(const std::string& service);
    std::vector<engine_state> engines_of(const std::string& service) const;
    void start_change(const role_change& change);

    const clock& time;
    std::string host;
    const route_directory& routes;
    server_pool& pool;
    demand_meter& demand;
    peer_exchange& peers;
    std::shared_ptr<role_order_sender> orders;
    role_policy policy;
    time_point started_at;
    std::optional<role_change> proposed_change;
    int consecutive_proposals = 0;
    std::map<std::string, role_change_in_progress> pending_changes; // by engine
    time_point cooldown_until;
};

} // namespace tanager
