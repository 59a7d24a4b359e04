#include "gateway/request_scheduler.h"

#include <algorithm>
#include <limits>

namespace tanager {

namespace {

// A request that has missed its objective is served while less than this part of the places is filled.
constexpr double idle_room = 0.7;

} // namespace

place_desk::place_desk(const clock& time,
                       random_source& random,
                       server_pool& pool,
                       const uplink& link,
                       const demand_meter& demand)
    : time(time), random(random), pool(pool), link(link), demand(demand)
{
}

place_desk::service_desk& place_desk::desk_of(const std::string& service)
{
    return this->desks.try_emplace(service, this->time).first->second;
}

slot_wait_queue& place_desk::line_of(const place_request& wanted)
{
    auto& desk = this->desk_of(wanted.service);
    return wanted.prompt.has_long_output() ? desk.long_outputs : desk.line;
}

// Long outputs are few and hold their places for seconds, and what has begun would be lost, so neither is
// held to a share.
bool place_desk::has_share(const place_request& wanted, const std::vector<placement_candidate>& candidates)
{
    if (wanted.prompt.has_long_output() || wanted.is_read || wanted.has_begun) {
        return true;
    }
    const auto use = this->count_places(wanted.service, candidates);
    if (wanted.is_late && use.local_running + use.peer_running >= idle_room * use.total_slots) {
        return false;
    }
    return may_take_slot(use);
}

slot_usage place_desk::count_places(const std::string& service,
                                    const std::vector<placement_candidate>& candidates)
{
    slot_usage use;
    for (const auto& candidate : candidates) {
        if (candidate.server->role != engine_role::prefill && !candidate.is_excluded) {
            use.total_slots += candidate.server->slots;
            use.local_running += candidate.local_running;
            use.peer_running += candidate.peer_running;
        }
    }
    use.local_arrivals = this->demand.prompts_last_second(service);
    use.peer_arrivals = this->pool.prompts_elsewhere(service);
    use.peer_report_age = this->pool.elsewhere_age();
    return use;
}

slot_usage place_desk::use_of(const std::string& service)
{
    return this->count_places(service, this->pool.candidates(service, 0, {}));
}

placement_result place_desk::choose(const place_request& wanted, std::vector<placement_candidate>& candidates)
{
    candidates = this->pool.candidates(wanted.service, wanted.prompt.prefix_key, wanted.tried);
    if (!wanted.is_model) {
        return choose_plain_server(candidates, this->random);
    }
    if (wanted.is_read) {
        return choose_decode_engine(candidates, this->random);
    }
    if (!this->has_share(wanted, candidates)) {
        return tl::make_unexpected(placement_error::no_free_slot);
    }
    if (!wanted.may_be_read_apart) {
        std::erase_if(candidates,
                      [](const auto& candidate) { return candidate.server->role == engine_role::prefill; });
    }
    const auto left = std::chrono::floor<std::chrono::milliseconds>(wanted.due - this->time.now());
    return choose_engines(wanted.prompt, left, candidates, this->random, this->link.expect(wanted.bytes));
}

void place_desk::grant(const place_request& wanted,
                       const placement& chosen,
                       const std::vector<placement_candidate>& candidates,
                       place_listener& listener)
{
    granted_place place{candidates[chosen.server].server, nullptr, chosen.prefill_tokens, 0};
    if (chosen.prefill_engine) {
        place.reader = candidates[*chosen.prefill_engine].server;
    }
    this->pool.begin(place.server->id, wanted.prompt.has_long_output());
    if (place.unread_tokens > 0) {
        const auto& reading = place.reader == nullptr ? place.server : place.reader;
        place.tokens_before =
            this->pool.begin_reading(reading->id, wanted.prompt.prefix_key, place.unread_tokens);
    }
    listener.on_place(place);
}

std::uint64_t place_desk::ask(const place_request& wanted, const std::shared_ptr<place_listener>& listener)
{
    const std::uint64_t ticket = ++this->last_ticket;
    auto& line = this->line_of(wanted);
    const auto first = line.front();
    const bool goes_first = !first || first->priority > wanted.priority;
    std::vector<placement_candidate> candidates;
    const auto chosen = this->choose(wanted, candidates);
    if (!chosen && chosen.error() == placement_error::no_available_server) {
        listener->on_no_place(placement_error::no_available_server);
        return ticket;
    }
    if (chosen && goes_first) {
        this->grant(wanted, *chosen, candidates, *listener);
        return ticket;
    }
    if (wanted.is_late || !line.try_push({ticket, wanted.priority, wanted.latest_start})) {
        listener->on_no_place(placement_error::no_free_slot);
        return ticket;
    }
    this->kept.emplace(ticket, kept_request{wanted, listener});
    return ticket;
}

bool place_desk::has_place(const place_request& wanted)
{
    std::vector<placement_candidate> candidates;
    return this->choose(wanted, candidates).has_value();
}

void place_desk::withdraw(std::uint64_t ticket)
{
    const auto found = this->kept.find(ticket);
    if (found == this->kept.end()) {
        return;
    }
    this->line_of(found->second.wanted).remove(ticket);
    this->kept.erase(found);
}

void place_desk::release(const place_request& wanted, const std::string& server_id)
{
    this->pool.end(server_id, wanted.prompt.has_long_output());
    auto& desk = this->desk_of(wanted.service);
    desk.line.record_slot_release();
    desk.long_outputs.record_slot_release();
    this->serve(desk);
}

void place_desk::release_reading(const std::string& service,
                                 const std::string& server_id,
                                 std::uint32_t tokens)
{
    this->pool.end_reading(server_id, tokens);
    this->serve(this->desk_of(service));
}

void place_desk::serve(service_desk& desk)
{
    this->serve_line(desk.long_outputs);
    this->serve_line(desk.line);
}

void place_desk::serve_line(slot_wait_queue& line)
{
    for (const auto& late : line.remove_expired()) {
        const auto row = this->kept.extract(late.ticket);
        if (!row.empty()) {
            row.mapped().listener->on_no_place(placement_error::no_free_slot);
        }
    }
    for (auto next = line.front(); next; next = line.front()) {
        const auto found = this->kept.find(next->ticket);
        if (found == this->kept.end()) {
            line.remove(next->ticket);
            continue;
        }
        std::vector<placement_candidate> candidates;
        const auto chosen = this->choose(found->second.wanted, candidates);
        if (!chosen && chosen.error() == placement_error::no_free_slot) {
            return;
        }
        line.remove(next->ticket);
        const auto row = this->kept.extract(found);
        if (!chosen) {
            row.mapped().listener->on_no_place(chosen.error());
            continue;
        }
        this->grant(row.mapped().wanted, *chosen, candidates, *row.mapped().listener);
    }
}

void place_desk::review()
{
    for (auto& [service, desk] : this->desks) {
        if (desk.line.size() + desk.long_outputs.size() > 0) {
            this->serve(desk);
        }
    }
}

std::size_t place_desk::waiting() const
{
    return this->kept.size();
}

std::chrono::milliseconds place_desk::advise_return(const std::string& service)
{
    auto& desk = this->desk_of(service);
    desk.advice.record_rejection();
    const auto start = desk.line.estimate_start_time(std::numeric_limits<std::uint32_t>::max());
    const auto wait = start == time_point::max() ? duration{0} : start - this->time.now();
    return desk.advice.estimate(wait, this->random);
}

} // namespace tanager
