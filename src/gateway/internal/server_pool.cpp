#include "gateway/server_pool.h"

#include "logging/event_log.h"

#include <algorithm>

namespace tanager {

namespace {

std::string_view name_of_sign(server_outcome sign)
{
    switch (sign) {
    case server_outcome::answered:
        return "answered";
    case server_outcome::failed:
        return "failed";
    case server_outcome::unresponsive:
        return "silent";
    case server_outcome::inconclusive:
        return "refused";
    }
    return "unlisted";
}

} // namespace

server_pool::server_pool(const clock& time,
                         std::string data_centre,
                         duration return_grace,
                         const elsewhere_view& elsewhere)
    : data_centre(std::move(data_centre)),
      known(time, return_grace),
      trust(time),
      pauses(time),
      elsewhere(elsewhere)
{
}

server_list& server_pool::list()
{
    return this->known;
}

std::vector<placement_candidate> server_pool::candidates(const std::string& service,
                                                         std::uint64_t shared_key,
                                                         const std::vector<std::string>& tried) const
{
    std::vector<placement_candidate> found;
    const bool spare_long_outputs =
        this->pauses.should_isolate_long_outputs(service) || this->elsewhere.spares_long_outputs(service);
    for (auto& server : this->known.serving(service)) {
        placement_candidate row;
        const auto here = this->own_loads.find(server->id);
        const auto own = here == this->own_loads.end() ? own_load{} : here->second;
        const auto others = this->elsewhere.on_server(server->id);
        row.local_running = own.running;
        row.peer_running = others.running;
        row.pending_prefill_tokens = std::uint64_t{own.unread_tokens} + others.unread_tokens;
        row.long_outputs = own.long_outputs + others.long_outputs;
        row.isolate_long_outputs = spare_long_outputs;
        row.is_slow = this->pauses.is_slow(server->id);
        row.base_latency_milliseconds = this->rates.base_latency_milliseconds(*server);
        row.prefill_milliseconds_per_token = this->rates.prefill_milliseconds_per_token(*server);
        row.has_prefix_cached = this->memory.contains(server->id, shared_key);
        row.is_excluded = this->trust.is_ejected(server->id) || this->elsewhere.is_changing(server->id);
        row.is_probing = this->trust.is_probing(server->id);
        row.is_same_data_centre = server->data_centre == this->data_centre;
        row.was_tried = std::ranges::find(tried, server->id) != tried.end();
        row.server = std::move(server);
        found.push_back(std::move(row));
    }
    return found;
}

std::uint32_t server_pool::prompts_elsewhere(const std::string& service) const
{
    return this->elsewhere.prompts_per_second(service);
}

duration server_pool::elsewhere_age() const
{
    return this->elsewhere.age();
}

own_load server_pool::load_of(const std::string& server_id) const
{
    const auto here = this->own_loads.find(server_id);
    const auto own = here == this->own_loads.end() ? own_load{} : here->second;
    const auto others = this->elsewhere.on_server(server_id);
    return {own.running + others.running,
            own.unread_tokens + others.unread_tokens,
            own.long_outputs + others.long_outputs};
}

void server_pool::begin(const std::string& server_id, bool has_long_output)
{
    auto& own = this->own_loads[server_id];
    ++own.running;
    own.long_outputs += has_long_output ? 1 : 0;
    this->changed();
}

void server_pool::end(const std::string& server_id, bool has_long_output)
{
    auto& own = this->own_loads[server_id];
    --own.running;
    own.long_outputs -= has_long_output ? 1 : 0;
    this->drop_if_idle(server_id);
    this->changed();
}

std::uint64_t
server_pool::begin_reading(const std::string& server_id, std::uint64_t shared_key, std::uint32_t tokens)
{
    auto& own = this->own_loads[server_id];
    own.unread_tokens += tokens;
    this->memory.insert(server_id, shared_key);
    this->changed();
    return std::uint64_t{own.unread_tokens} + this->elsewhere.on_server(server_id).unread_tokens;
}

void server_pool::end_reading(const std::string& server_id, std::uint32_t tokens)
{
    this->own_loads[server_id].unread_tokens -= tokens;
    this->drop_if_idle(server_id);
    this->changed();
}

void server_pool::drop_if_idle(const std::string& server_id)
{
    if (this->own_loads[server_id] == own_load{}) {
        this->own_loads.erase(server_id);
    }
}

double server_pool::prefill_token_milliseconds(const std::string& service, double speed_up) const
{
    double estimate = 0;
    for (const auto& server : this->known.serving(service)) {
        const double milliseconds = this->rates.prefill_milliseconds_per_token(*server);
        if (server->role == engine_role::prefill) {
            return milliseconds;
        }
        estimate = milliseconds / speed_up;
    }
    return estimate;
}

void server_pool::record_pause(const backend_server& server, double share_of_objective, double time_used)
{
    const auto own = this->own_loads.find(server.id);
    const bool is_reading = (own != this->own_loads.end() && own->second.unread_tokens > 0) ||
                            this->elsewhere.on_server(server.id).unread_tokens > 0;
    const bool was_spared = this->pauses.should_isolate_long_outputs(server.service);
    this->pauses.record({server.service, server.id, share_of_objective, time_used, is_reading});
    if (!was_spared && this->pauses.should_isolate_long_outputs(server.service)) {
        write_event(log_event::long_outputs_gathered,
                    {{"service", server.service},
                     {"server", server.id},
                     {"pause_share", std::to_string(share_of_objective)},
                     {"time_used", std::to_string(time_used)}});
    }
}

bool server_pool::has_sent_since(const std::string& server_id, time_point moment) const
{
    return this->pauses.has_event_since(server_id, moment);
}

bool server_pool::spares_long_outputs(const std::string& service) const
{
    return this->pauses.should_isolate_long_outputs(service);
}

void server_pool::record_reading(const backend_server& server, std::uint64_t tokens, duration elapsed)
{
    this->rates.record(server, tokens, elapsed);
}

void server_pool::record(const std::string& server_id, server_outcome sign)
{
    if (!this->trust.record(server_id, sign)) {
        return;
    }
    const auto event =
        sign == server_outcome::answered ? log_event::server_trusted : log_event::server_suspected;
    write_event(event, {{"server", server_id}, {"sign", std::string{name_of_sign(sign)}}});
}

void server_pool::on_change(std::function<void()> callback)
{
    this->changed = std::move(callback);
}

void server_pool::forget_gone()
{
    const auto listed = this->known.ids();
    this->trust.keep_only(listed);
    this->rates.keep_only(listed);
    this->memory.keep_only(listed);
    this->pauses.keep_only(listed);
}

const std::map<std::string, own_load>& server_pool::loads() const
{
    return this->own_loads;
}

} // namespace tanager
