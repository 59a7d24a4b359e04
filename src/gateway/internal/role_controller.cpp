#include "gateway/internal/role_controller.h"

#include "logging/event_log.h"

#include <algorithm>

namespace tanager {

namespace {

// Consecutive rounds that must propose the same role before it is changed.
constexpr int required_consecutive_proposals = 3;
// After an order, an engine gets no requests until its list entry shows the new role, or until this has
// passed.
constexpr std::chrono::seconds role_change_timeout{20};
// A gateway that has just started does not know its peers yet, and two that plan take the lease from each
// other.
constexpr std::chrono::seconds peer_discovery_time{3};
// The measurements need this long to reflect a change.
constexpr std::chrono::seconds cooldown_after_change{2};
// A prefill engine prefills about twice as fast as a decode engine. Used while a service has no prefill
// engine.
constexpr double prefill_engine_speed_up = 2;

} // namespace

role_controller::role_controller(const clock& time,
                                 std::string host,
                                 const route_directory& routes,
                                 server_pool& pool,
                                 demand_meter& demand,
                                 peer_exchange& peers,
                                 std::shared_ptr<role_order_sender> orders,
                                 const role_policy& policy)
    : time(time),
      host(std::move(host)),
      routes(routes),
      pool(pool),
      demand(demand),
      peers(peers),
      orders(std::move(orders)),
      policy(policy),
      started_at(time.now())
{
}

bool role_controller::is_leader() const
{
    const auto peer_names = this->peers.known_loads().peer_names();
    return std::ranges::all_of(peer_names, [this](const auto& peer) { return this->host < peer; });
}

void role_controller::reset()
{
    this->orders->step_down();
    this->proposed_change.reset();
    this->consecutive_proposals = 0;
}

void role_controller::reconcile()
{
    this->finish_changes();
    if (this->time.now() - this->started_at < peer_discovery_time) {
        return;
    }
    if (!this->is_leader()) {
        this->reset();
        return;
    }
    const bool can_send_orders = this->orders->prepare_to_send();
    const bool is_cooling_down = this->pending_changes.empty() && this->time.now() < this->cooldown_until;
    if (!can_send_orders || is_cooling_down) {
        return;
    }
    for (const auto& service : this->routes.model_services()) {
        this->plan_for(service);
    }
}

void role_controller::finish_changes()
{
    std::map<std::string, std::string> outcomes;
    for (const auto& [engine_id, change] : this->pending_changes) {
        const auto server = this->pool.servers().find(engine_id);
        if (server == nullptr || server->role == change.role) {
            outcomes.emplace(engine_id, "done");
        } else if (this->time.now() >= change.until) {
            outcomes.emplace(engine_id, "not seen");
        }
    }
    for (const auto& [engine_id, outcome] : outcomes) {
        this->end_change(engine_id, outcome);
    }
}

void role_controller::end_change(const std::string& engine_id, const std::string& outcome)
{
    write_event(log_event::role_change_ended, {{"server", engine_id}, {"outcome", outcome}});
    this->pending_changes.erase(engine_id);
    this->cooldown_until = this->time.now() + cooldown_after_change;
    this->announce_changes();
}

void role_controller::announce_changes()
{
    std::vector<std::string> engine_ids;
    for (const auto& [engine_id, change] : this->pending_changes) {
        engine_ids.push_back(engine_id);
    }
    this->peers.announce_role_changes(engine_ids);
}

std::vector<engine_state> role_controller::engines_of(const std::string& service) const
{
    std::vector<engine_state> engines;
    for (const auto& candidate : this->pool.candidates(service, 0, {})) {
        const auto change = this->pending_changes.find(candidate.server->id);
        const bool is_changing = change != this->pending_changes.end();
        engines.push_back({candidate.server->id,
                           is_changing ? change->second.role : candidate.server->role,
                           candidate.server->slots,
                           candidate.local_running + candidate.peer_running,
                           candidate.long_outputs,
                           this->orders->is_settled(candidate.server->id),
                           is_changing});
    }
    return engines;
}

void role_controller::plan_for(const std::string& service)
{
    const auto engines = this->engines_of(service);
    std::uint32_t long_outputs = 0;
    for (const auto& engine : engines) {
        long_outputs += engine.long_outputs;
    }
    this->demand.record_long_outputs(service, long_outputs);
    const auto prefill_token_milliseconds =
        this->pool.prefill_token_milliseconds(service, prefill_engine_speed_up);
    const auto measured_demand = this->demand.measure(service,
                                                      this->pool.peer_prompts_per_second(service),
                                                      prefill_token_milliseconds,
                                                      prefill_engine_speed_up);
    const auto change = plan_role_change(engines, measured_demand, this->policy);
    if (!change) {
        this->proposed_change.reset();
        this->consecutive_proposals = 0;
        return;
    }
    const bool is_same_role = this->proposed_change && this->proposed_change->role == change->role;
    const int further_proposals = std::min(this->consecutive_proposals + 1, required_consecutive_proposals);
    this->consecutive_proposals = is_same_role ? further_proposals : 1;
    this->proposed_change = change;
    if (this->consecutive_proposals < required_consecutive_proposals) {
        return;
    }
    write_event(log_event::role_change_decided,
                {{"service", service},
                 {"server", change->engine_id},
                 {"role", change->role == engine_role::prefill ? "prefill" : "decode"},
                 {"reading_ms", std::to_string(measured_demand.prefill_milliseconds)},
                 {"generating_ms", std::to_string(measured_demand.decode_milliseconds)},
                 {"long_outputs", std::to_string(measured_demand.long_outputs)},
                 {"prompts_per_s", std::to_string(measured_demand.prompts_per_second)},
                 {"engines", std::to_string(engines.size())}});
    this->start_change(*change);
}

void role_controller::start_change(const role_change& change)
{
    const auto server = this->pool.servers().find(change.engine_id);
    if (server == nullptr) {
        return;
    }
    this->pending_changes.insert_or_assign(
        change.engine_id, role_change_in_progress{change.role, this->time.now() + role_change_timeout});
    this->announce_changes();
    this->orders->send(*server, change, [this, engine_id = change.engine_id](bool may_be_executed) {
        if (!may_be_executed) {
            this->end_change(engine_id, "not ordered");
        }
    });
}

} // namespace tanager
