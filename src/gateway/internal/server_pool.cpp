#include "gateway/server_pool.h"

#include "logging/event_log.h"

#include <algorithm>

namespace tanager {

namespace {

// New prefixes are repeated in the load reports for this long, so that a lost report does not matter.
constexpr std::chrono::milliseconds prefix_report_time{300};
// Bounds the size of a report.
constexpr std::size_t max_recent_prefixes = 40;
// Reports carry event times this often, and less often with more peers than `max_peers_at_full_rate`, so that
// what a gateway sends and receives does not grow with their number. Speeds are learned over seconds.
constexpr std::chrono::milliseconds event_time_interval{500};
constexpr std::size_t max_peers_at_full_rate = 20;
constexpr std::size_t max_reported_event_times = 8;

std::uint32_t prefix_hash(std::uint64_t prefix_key)
{
    return static_cast<std::uint32_t>(prefix_key);
}

std::string_view name_of_outcome(server_outcome outcome)
{
    switch (outcome) {
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

std::string_view name_of_speed(decode_speed speed)
{
    switch (speed) {
    case decode_speed::suitable:
        return "suitable";
    case decode_speed::slower:
        return "slower";
    case decode_speed::unknown:
        return "unknown";
    case decode_speed::too_slow:
        return "too_slow";
    }
    return "unlisted";
}

} // namespace

server_pool::server_pool(const clock& time,
                         std::string data_centre,
                         duration store_recovery_grace,
                         const peer_load_view& peers)
    : time(time),
      data_centre(std::move(data_centre)),
      server_directory(time, store_recovery_grace),
      outliers(time),
      misdirections(time),
      prefill_interference(time),
      speeds(time),
      event_times_taken_at(time.now()),
      peers(peers)
{
}

server_list& server_pool::servers()
{
    return this->server_directory;
}

std::vector<placement_candidate> server_pool::candidates(const std::string& service,
                                                         std::uint64_t prefix_key,
                                                         const std::vector<std::string>& tried) const
{
    std::vector<placement_candidate> found;
    const bool isolate_long_outputs = this->prefill_interference.should_isolate_long_outputs(service) ||
                                      this->peers.should_isolate_long_outputs(service);
    for (auto& server : this->server_directory.serving(service)) {
        placement_candidate candidate;
        const auto local_entry = this->local_loads_by_server.find(server->id);
        const auto local =
            local_entry == this->local_loads_by_server.end() ? load_counts{} : local_entry->second;
        const auto peer = this->peers.load_of(server->id);
        candidate.local_running = local.running_requests;
        candidate.peer_running = peer.running_requests;
        candidate.pending_prefill_tokens =
            std::uint64_t{local.pending_prefill_tokens} + peer.pending_prefill_tokens;
        candidate.long_outputs = local.long_outputs + peer.long_outputs;
        candidate.isolate_long_outputs = isolate_long_outputs;
        candidate.is_slow = this->prefill_interference.is_slow(server->id);
        candidate.speed = this->speed_of(server->id);
        candidate.base_latency_milliseconds = this->prefill_latency.base_latency_milliseconds(*server);
        candidate.prefill_milliseconds_per_token =
            this->prefill_latency.prefill_milliseconds_per_token(*server);
        candidate.has_prefix_cached = this->cached_prefixes.contains(*server, prefix_hash(prefix_key));
        candidate.is_excluded =
            this->outliers.is_ejected(server->id) || this->peers.is_changing_role(server->id);
        candidate.is_probing = this->outliers.is_probing(server->id);
        candidate.is_same_data_centre = server->data_centre == this->data_centre;
        candidate.was_tried = std::ranges::find(tried, server->id) != tried.end();
        candidate.server = std::move(server);
        found.push_back(std::move(candidate));
    }
    this->exclude_suspended(found);
    return found;
}

void server_pool::rate_speeds()
{
    std::map<std::string, std::vector<std::pair<std::shared_ptr<const backend_server>, std::uint32_t>>>
        engines_by_service;
    for (auto& server : this->server_directory.serving()) {
        if (server->role == engine_role::decode) {
            const auto running = this->total_load(server->id).running_requests;
            engines_by_service[server->service].emplace_back(std::move(server), running);
        }
    }
    std::map<std::string, decode_speed> ratings;
    for (const auto& [service, engines] : engines_by_service) {
        const auto rated = this->speeds.rate(engines);
        for (std::size_t index = 0; index < rated.size(); ++index) {
            const auto& [server, running] = engines[index];
            ratings.emplace(server->id, rated[index]);
            if (this->speed_of(server->id) != rated[index]) {
                write_event(log_event::engine_speed_rated,
                            {{"service", service},
                             {"server", server->id},
                             {"speed", std::string{name_of_speed(rated[index])}},
                             {"event_ms", std::to_string(this->speeds.event_milliseconds(*server, running))},
                             {"running", std::to_string(running)},
                             {"noise", std::to_string(this->speeds.noise_factor(service))}});
            }
        }
    }
    this->speed_ratings = std::move(ratings);
}

decode_speed server_pool::speed_of(const std::string& server_id) const
{
    const auto found = this->speed_ratings.find(server_id);
    return found == this->speed_ratings.end() ? decode_speed::suitable : found->second;
}

std::size_t server_pool::count_speed(decode_speed speed) const
{
    return static_cast<std::size_t>(
        std::ranges::count(this->speed_ratings, speed, [](const auto& entry) { return entry.second; }));
}

// Excludes the servers of a service whose addresses answered with 421, as long as others can take requests.
void server_pool::exclude_suspended(std::vector<placement_candidate>& candidates) const
{
    if (this->misdirections.is_empty()) {
        return;
    }
    std::vector<std::shared_ptr<const backend_server>> available;
    for (const auto& candidate : candidates) {
        if (!candidate.is_excluded) {
            available.push_back(candidate.server);
        }
    }
    const auto suspended = this->misdirections.find_suspended(available);
    for (auto& candidate : candidates) {
        candidate.is_excluded = candidate.is_excluded || suspended.contains(candidate.server->id);
        // Another server at the address does not have the prefix.
        candidate.has_prefix_cached =
            candidate.has_prefix_cached && !this->misdirections.is_suspected(candidate.server);
    }
}

std::uint32_t server_pool::peer_prompts_per_second(const std::string& service) const
{
    return this->peers.prompts_per_second(service);
}

gateways_with_room server_pool::link_room_of_peers(duration max_wait) const
{
    return this->peers.link_room(max_wait);
}

duration server_pool::peer_report_age() const
{
    return this->peers.report_age();
}

load_counts server_pool::total_load(const std::string& server_id) const
{
    const auto local_entry = this->local_loads_by_server.find(server_id);
    const auto local = local_entry == this->local_loads_by_server.end() ? load_counts{} : local_entry->second;
    const auto peer = this->peers.load_of(server_id);
    return {local.running_requests + peer.running_requests,
            local.pending_prefill_tokens + peer.pending_prefill_tokens,
            local.long_outputs + peer.long_outputs};
}

void server_pool::begin_request(const std::string& server_id, bool has_long_output)
{
    this->end_suspensions_of_changed_servers();
    this->misdirections.begin_request(server_id);
    auto& local = this->local_loads_by_server[server_id];
    ++local.running_requests;
    local.long_outputs += has_long_output ? 1 : 0;
    this->load_change_callback();
}

void server_pool::end_request(const std::string& server_id, bool has_long_output)
{
    auto& local = this->local_loads_by_server[server_id];
    --local.running_requests;
    this->misdirections.end_request(server_id);
    local.long_outputs -= has_long_output ? 1 : 0;
    this->drop_if_idle(server_id);
    this->load_change_callback();
}

std::uint64_t
server_pool::begin_prefill(const backend_server& server, std::uint64_t prefix_key, std::uint32_t tokens)
{
    auto& local = this->local_loads_by_server[server.id];
    local.pending_prefill_tokens += tokens;
    this->misdirections.begin_request(server.id);
    if (this->cached_prefixes.insert(server, prefix_hash(prefix_key))) {
        const auto now = this->time.now();
        while (!this->recent_prefixes.empty() &&
               (this->recent_prefixes.size() >= max_recent_prefixes ||
                now - this->recent_prefixes.front().sent_at > prefix_report_time)) {
            this->recent_prefixes.pop_front();
        }
        this->recent_prefixes.push_back({{name_hash(server.id), prefix_hash(prefix_key)}, now});
    }
    this->load_change_callback();
    return std::uint64_t{local.pending_prefill_tokens} +
           this->peers.load_of(server.id).pending_prefill_tokens;
}

void server_pool::forget_prefix(const backend_server& server, std::uint64_t prefix_key)
{
    this->cached_prefixes.remove(server, prefix_hash(prefix_key));
}

std::vector<sent_prefix> server_pool::new_prefixes() const
{
    std::vector<sent_prefix> prefixes;
    const auto oldest = this->time.now() - prefix_report_time;
    for (const auto& recent : this->recent_prefixes) {
        if (recent.sent_at >= oldest) {
            prefixes.push_back(recent.sent);
        }
    }
    return prefixes;
}

void server_pool::record_peer_prefixes(const std::vector<sent_prefix>& prefixes)
{
    for (const auto& sent : prefixes) {
        const auto server = this->find_by_hash(sent.server);
        if (server != nullptr) {
            this->cached_prefixes.insert(*server, sent.prefix);
        }
    }
}

std::shared_ptr<const backend_server> server_pool::find_by_hash(std::uint32_t hash)
{
    if (this->servers_by_hash.empty() || this->hashed_generation != this->server_directory.generation()) {
        this->hashed_generation = this->server_directory.generation();
        this->servers_by_hash.clear();
        for (auto& server : this->server_directory.serving()) {
            this->servers_by_hash.emplace(name_hash(server->id), std::move(server));
        }
    }
    const auto found = this->servers_by_hash.find(hash);
    return found == this->servers_by_hash.end() ? nullptr : found->second;
}

void server_pool::end_prefill(const std::string& server_id, std::uint32_t tokens)
{
    this->local_loads_by_server[server_id].pending_prefill_tokens -= tokens;
    this->misdirections.end_request(server_id);
    this->drop_if_idle(server_id);
    this->load_change_callback();
}

void server_pool::drop_if_idle(const std::string& server_id)
{
    if (this->local_loads_by_server[server_id] == load_counts{}) {
        this->local_loads_by_server.erase(server_id);
    }
}

double server_pool::prefill_token_milliseconds(const std::string& service, double speed_up) const
{
    double estimate = 0;
    for (const auto& server : this->server_directory.serving(service)) {
        const double milliseconds = this->prefill_latency.prefill_milliseconds_per_token(*server);
        if (server->role == engine_role::prefill) {
            return milliseconds;
        }
        estimate = milliseconds / speed_up;
    }
    return estimate;
}

void server_pool::record_event_gap(const backend_server& server, double gap_ratio, double used_timeout_ratio)
{
    const auto local = this->local_loads_by_server.find(server.id);
    const bool has_pending_prefill =
        (local != this->local_loads_by_server.end() && local->second.pending_prefill_tokens > 0) ||
        this->peers.load_of(server.id).pending_prefill_tokens > 0;
    const bool was_isolating = this->prefill_interference.should_isolate_long_outputs(server.service);
    this->prefill_interference.record(
        {server.service, server.id, gap_ratio, used_timeout_ratio, has_pending_prefill});
    if (!was_isolating && this->prefill_interference.should_isolate_long_outputs(server.service)) {
        write_event(log_event::long_outputs_gathered,
                    {{"service", server.service},
                     {"server", server.id},
                     {"pause_share", std::to_string(gap_ratio)},
                     {"time_used", std::to_string(used_timeout_ratio)}});
    }
}

// Prefill on the engine lengthens its events, which says nothing about its speed.
void server_pool::record_event_time(const backend_server& server, std::uint64_t events, duration elapsed)
{
    const auto load = this->total_load(server.id);
    if (load.pending_prefill_tokens == 0) {
        this->speeds.record(server, {static_cast<std::uint32_t>(events), elapsed, load.running_requests});
    }
}

void server_pool::record_long_output(const std::string& service, std::chrono::milliseconds gap_objective)
{
    this->speeds.record_gap_objective(service, gap_objective);
}

std::vector<server_event_times> server_pool::take_event_times(std::size_t peer_count)
{
    const auto now = this->time.now();
    const auto interval = event_time_interval * std::max<std::size_t>(1, peer_count / max_peers_at_full_rate);
    if (now - this->event_times_taken_at < interval) {
        return {};
    }
    // The events lie in the middle of the interval on average.
    const auto age = std::chrono::round<std::chrono::milliseconds>((now - this->event_times_taken_at) / 2);
    this->event_times_taken_at = now;
    std::vector<server_event_times> reported;
    for (const auto& [id, times] : this->speeds.take_unreported(max_reported_event_times)) {
        const auto total = std::chrono::round<std::chrono::milliseconds>(times.total);
        reported.push_back({name_hash(id), times.events, total, times.running, age});
    }
    return reported;
}

void server_pool::record_peer_event_times(const std::vector<server_event_times>& reported)
{
    for (const auto& times : reported) {
        const auto server = this->find_by_hash(times.server);
        if (server != nullptr) {
            this->speeds.record_reported(*server, {times.events, times.total, times.running}, times.age);
        }
    }
}

bool server_pool::has_sent_event_since(const std::string& server_id, time_point moment) const
{
    return this->prefill_interference.has_event_since(server_id, moment);
}

bool server_pool::should_isolate_long_outputs(const std::string& service) const
{
    return this->prefill_interference.should_isolate_long_outputs(service);
}

void server_pool::record_prefill_time(const backend_server& server, std::uint64_t tokens, duration elapsed)
{
    this->prefill_latency.record(server, tokens, elapsed);
}

void server_pool::record_misdirected(const backend_server& server)
{
    const auto current = this->server_directory.find(server.id);
    if (current == nullptr || *current != server) {
        return; // the request was sent to what the store said before
    }
    if (this->misdirections.record_misdirected(current)) {
        write_event(log_event::server_suspended,
                    {{"server", server.id}, {"address", to_text(server.address)}});
    }
}

void server_pool::record_accepted(const std::string& server_id)
{
    if (this->misdirections.record_accepted(server_id)) {
        write_event(log_event::server_resumed, {{"server", server_id}, {"sign", "accepted"}});
    }
}

void server_pool::end_suspensions_of_changed_servers()
{
    if (this->misdirections.is_empty() ||
        this->misdirections_generation == this->server_directory.generation()) {
        return;
    }
    this->misdirections_generation = this->server_directory.generation();
    for (const auto& id : this->misdirections.keep_only(this->server_directory.serving())) {
        write_event(log_event::server_resumed, {{"server", id}, {"sign", "entry_changed"}});
    }
}

void server_pool::record_outcome(const std::string& server_id, server_outcome outcome)
{
    if (outcome == server_outcome::answered) {
        this->record_accepted(server_id);
    }
    if (!this->outliers.record(server_id, outcome)) {
        return;
    }
    const auto event =
        outcome == server_outcome::answered ? log_event::server_trusted : log_event::server_suspected;
    write_event(event, {{"server", server_id}, {"sign", std::string{name_of_outcome(outcome)}}});
}

void server_pool::set_load_change_callback(std::function<void()> callback)
{
    this->load_change_callback = std::move(callback);
}

void server_pool::record_leaving(const backend_server& asked,
                                 leaving_statement statement,
                                 answer_kind answer,
                                 int status)
{
    if (statement == leaving_statement::none) {
        return;
    }
    const auto holder = statement == leaving_statement::address_holder
                            ? this->server_directory.find_other_at(asked.address, asked.id)
                            : std::make_shared<const backend_server>(asked);
    const auto listed = holder == nullptr ? std::nullopt : this->server_directory.record_leaving(*holder);
    if (!listed) {
        return;
    }
    write_event(log_event::server_leaving,
                {{"server", holder->id},
                 {"answer", std::string{name_of(answer)}},
                 {"status", std::to_string(status)},
                 {"listed", std::string{name_of(*listed)}},
                 {"running", std::to_string(this->total_load(holder->id).running_requests)}});
    this->leaving_callback(answer);
}

void server_pool::set_leaving_callback(std::function<void(answer_kind)> callback)
{
    this->leaving_callback = std::move(callback);
}

void server_pool::remove_unlisted()
{
    this->end_suspensions_of_changed_servers();
    const auto listed = this->server_directory.ids();
    this->outliers.keep_only(listed);
    this->prefill_latency.keep_only(listed);
    this->cached_prefixes.keep_only(listed);
    this->prefill_interference.keep_only(listed);
    this->speeds.keep_only(listed);
}

const std::map<std::string, load_counts>& server_pool::local_loads() const
{
    return this->local_loads_by_server;
}

} // namespace tanager
