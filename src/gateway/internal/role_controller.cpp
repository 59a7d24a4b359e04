#include "gateway/internal/role_controller.h"

#include "logging/event_log.h"

#include <algorithm>

namespace tanager {

namespace {

// Reviews in a row that must come to the same change.
constexpr int agreeing_reviews = 3;
// How long an engine is given no work after an order: until its list entry shows the new role, or this is
// over.
constexpr std::chrono::seconds longest_change{20};
// After a change the figures are given time to follow.
constexpr std::chrono::seconds quiet_after_change{2};
// A prefill engine reads about twice as fast as a decode engine; used while a service has none.
constexpr double prefill_speed_up = 2;

} // namespace

role_keeper::role_keeper(const clock& time,
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
      policy(policy)
{
}

bool role_keeper::is_planner() const
{
    const auto heard = this->peers.known_loads().peer_names();
    return std::ranges::all_of(heard, [this](const auto& peer) { return this->host < peer; });
}

void role_keeper::forget_decisions()
{
    this->orders->step_down();
    this->wanted.reset();
    this->times_wanted = 0;
}

void role_keeper::review()
{
    this->finish_change();
    if (!this->is_planner()) {
        this->forget_decisions();
        return;
    }
    const bool is_ready = this->orders->prepare_to_send();
    if (this->changing || !is_ready || this->time.now() < this->quiet_until) {
        return;
    }
    for (const auto& service : this->routes.model_services()) {
        this->plan_for(service);
    }
}

void role_keeper::finish_change()
{
    if (!this->changing) {
        return;
    }
    const auto server = this->pool.list().find(this->changing->engine);
    const bool is_done = server == nullptr || server->role == this->changing->role;
    if (is_done || this->time.now() >= this->changing->until) {
        this->end_change(is_done ? "done" : "not seen");
    }
}

void role_keeper::end_change(const std::string& outcome)
{
    write_event(log_event::role_change_ended, {{"server", this->changing->engine}, {"outcome", outcome}});
    this->changing.reset();
    this->quiet_until = this->time.now() + quiet_after_change;
    this->peers.announce_role_change({});
}

std::vector<engine_state> role_keeper::engines_of(const std::string& service) const
{
    std::vector<engine_state> engines;
    const auto unsettled = this->orders->engine_with_pending_order();
    for (const auto& row : this->pool.candidates(service, 0, {})) {
        engines.push_back({row.server->id,
                           row.server->role,
                           row.server->slots,
                           row.local_running + row.peer_running,
                           row.long_outputs,
                           unsettled != row.server->id});
    }
    return engines;
}

void role_keeper::plan_for(const std::string& service)
{
    const auto engines = this->engines_of(service);
    std::uint32_t long_outputs = 0;
    for (const auto& engine : engines) {
        long_outputs += engine.long_outputs;
    }
    this->demand.record_long_outputs(service, long_outputs);
    const auto token_time = this->pool.prefill_token_milliseconds(service, prefill_speed_up);
    const auto asked = this->demand.measure(service, this->pool.prompts_elsewhere(service), token_time);
    const auto change = plan_role_change(engines, asked, this->policy);
    if (!change) {
        this->wanted.reset();
        this->times_wanted = 0;
        return;
    }
    const bool is_same = this->wanted && this->wanted->role == change->role;
    this->times_wanted = is_same ? this->times_wanted + 1 : 1;
    this->wanted = change;
    if (this->times_wanted < agreeing_reviews) {
        return;
    }
    write_event(log_event::role_change_decided,
                {{"service", service},
                 {"server", change->engine_id},
                 {"role", change->role == engine_role::prefill ? "prefill" : "decode"},
                 {"reading_ms", std::to_string(asked.prefill_milliseconds)},
                 {"generating_ms", std::to_string(asked.decode_milliseconds)},
                 {"long_outputs", std::to_string(asked.long_outputs)},
                 {"prompts_per_s", std::to_string(asked.prompts_per_second)},
                 {"engines", std::to_string(engines.size())}});
    this->begin(*change);
}

void role_keeper::begin(const role_change& change)
{
    const auto server = this->pool.list().find(change.engine_id);
    if (server == nullptr) {
        return;
    }
    this->changing = running_change{change.engine_id, change.role, this->time.now() + longest_change};
    this->wanted.reset();
    this->times_wanted = 0;
    this->peers.announce_role_change(change.engine_id);
    this->orders->send(*server, change, [this](bool may_be_carried_out) {
        if (!may_be_carried_out) {
            this->end_change("not ordered");
        }
    });
}

} // namespace tanager
