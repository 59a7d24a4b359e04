#include "gateway/request_scheduler.h"

#include <algorithm>
#include <limits>

namespace tanager {

namespace {

// A request that has missed its objective is served while less than this part of the places is filled.
constexpr double max_late_slot_usage_ratio = 0.7;

} // namespace

request_scheduler::request_scheduler(const clock& time,
                                     random_source& random,
                                     server_pool& pool,
                                     const uplink_queue_model& link,
                                     const demand_meter& demand)
    : time(time), random(random), pool(pool), link(link), demand(demand)
{
}

request_scheduler::service_queues& request_scheduler::queues_of(const std::string& service)
{
    return this->queues_by_service.try_emplace(service, this->time).first->second;
}

slot_wait_queue& request_scheduler::queue_of(const slot_request& wanted)
{
    auto& desk = this->queues_of(wanted.service);
    return wanted.prompt.has_long_output() ? desk.long_output_queue : desk.queue;
}

// Long outputs are few and hold their places for seconds, and what has begun would be lost, so neither is
// held to a share.
bool request_scheduler::is_within_share(const slot_request& wanted,
                                        const std::vector<placement_candidate>& candidates)
{
    if (wanted.prompt.has_long_output() || wanted.is_prefilled || wanted.may_have_executed) {
        return true;
    }
    const auto use = this->count_slots(wanted.service, candidates);
    if (wanted.has_missed_objective &&
        use.local_running + use.peer_running >= max_late_slot_usage_ratio * use.total_slots) {
        return false;
    }
    return may_take_slot(use);
}

slot_usage request_scheduler::count_slots(const std::string& service,
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
    use.peer_arrivals = this->pool.peer_prompts_per_second(service);
    use.peer_report_age = this->pool.peer_report_age();
    return use;
}

slot_usage request_scheduler::slot_usage_of(const std::string& service)
{
    return this->count_slots(service, this->pool.candidates(service, 0, {}));
}

placement_result request_scheduler::choose(const slot_request& wanted,
                                           std::vector<placement_candidate>& candidates)
{
    candidates = this->pool.candidates(wanted.service, wanted.prompt.prefix_key, wanted.tried_server_ids);
    if (!wanted.is_model) {
        return choose_plain_server(candidates, this->random);
    }
    if (wanted.is_prefilled) {
        return choose_decode_engine(candidates, this->random);
    }
    if (!this->is_within_share(wanted, candidates)) {
        return tl::make_unexpected(placement_error::no_free_slot);
    }
    if (!wanted.allows_separate_prefill) {
        std::erase_if(candidates,
                      [](const auto& candidate) { return candidate.server->role == engine_role::prefill; });
    }
    const auto left =
        std::chrono::floor<std::chrono::milliseconds>(wanted.first_event_deadline - this->time.now());
    return choose_engines(
        wanted.prompt, left, candidates, this->random, this->link.estimate_send_delay(wanted.request_bytes));
}

void request_scheduler::grant(const slot_request& wanted,
                              const placement& chosen,
                              const std::vector<placement_candidate>& candidates,
                              slot_listener& listener)
{
    slot_grant place{candidates[chosen.server].server, nullptr, chosen.prefill_tokens, 0};
    if (chosen.prefill_engine) {
        place.prefill_engine = candidates[*chosen.prefill_engine].server;
    }
    this->pool.begin_request(place.server->id, wanted.prompt.has_long_output());
    if (place.prefill_tokens > 0) {
        const auto& reading = place.prefill_engine == nullptr ? place.server : place.prefill_engine;
        place.pending_prefill_tokens =
            this->pool.begin_prefill(reading->id, wanted.prompt.prefix_key, place.prefill_tokens);
    }
    listener.on_slot_granted(place);
}

std::uint64_t request_scheduler::request_slot(const slot_request& wanted,
                                              const std::shared_ptr<slot_listener>& listener)
{
    const std::uint64_t ticket = ++this->last_ticket;
    auto& line = this->queue_of(wanted);
    const auto first = line.front();
    const bool goes_first = !first || first->priority > wanted.priority;
    std::vector<placement_candidate> candidates;
    const auto chosen = this->choose(wanted, candidates);
    if (!chosen && chosen.error() == placement_error::no_available_server) {
        listener->on_slot_denied(placement_error::no_available_server);
        return ticket;
    }
    if (chosen && goes_first) {
        this->grant(wanted, *chosen, candidates, *listener);
        return ticket;
    }
    if (wanted.has_missed_objective || !line.try_push({ticket, wanted.priority, wanted.latest_start})) {
        listener->on_slot_denied(placement_error::no_free_slot);
        return ticket;
    }
    this->queued_requests.emplace(ticket, queued_request{wanted, listener});
    return ticket;
}

bool request_scheduler::has_free_slot(const slot_request& wanted)
{
    std::vector<placement_candidate> candidates;
    return this->choose(wanted, candidates).has_value();
}

void request_scheduler::cancel(std::uint64_t ticket)
{
    const auto found = this->queued_requests.find(ticket);
    if (found == this->queued_requests.end()) {
        return;
    }
    this->queue_of(found->second.wanted).remove(ticket);
    this->queued_requests.erase(found);
}

void request_scheduler::release_slot(const slot_request& wanted, const std::string& server_id)
{
    this->pool.end_request(server_id, wanted.prompt.has_long_output());
    auto& desk = this->queues_of(wanted.service);
    desk.queue.record_slot_release();
    desk.long_output_queue.record_slot_release();
    this->process_queues_of(desk);
}

void request_scheduler::release_prefill(const std::string& service,
                                        const std::string& server_id,
                                        std::uint32_t tokens)
{
    this->pool.end_prefill(server_id, tokens);
    this->process_queues_of(this->queues_of(service));
}

void request_scheduler::process_queues_of(service_queues& desk)
{
    this->process_queue(desk.long_output_queue);
    this->process_queue(desk.queue);
}

void request_scheduler::process_queue(slot_wait_queue& line)
{
    for (const auto& late : line.remove_expired()) {
        const auto row = this->queued_requests.extract(late.ticket);
        if (!row.empty()) {
            row.mapped().listener->on_slot_denied(placement_error::no_free_slot);
        }
    }
    for (auto next = line.front(); next; next = line.front()) {
        const auto found = this->queued_requests.find(next->ticket);
        if (found == this->queued_requests.end()) {
            line.remove(next->ticket);
            continue;
        }
        std::vector<placement_candidate> candidates;
        const auto chosen = this->choose(found->second.wanted, candidates);
        if (!chosen && chosen.error() == placement_error::no_free_slot) {
            return;
        }
        line.remove(next->ticket);
        const auto row = this->queued_requests.extract(found);
        if (!chosen) {
            row.mapped().listener->on_slot_denied(chosen.error());
            continue;
        }
        this->grant(row.mapped().wanted, *chosen, candidates, *row.mapped().listener);
    }
}

void request_scheduler::process_queues()
{
    for (auto& [service, desk] : this->queues_by_service) {
        if (desk.queue.size() + desk.long_output_queue.size() > 0) {
            this->process_queues_of(desk);
        }
    }
}

std::size_t request_scheduler::queued_count() const
{
    return this->queued_requests.size();
}

std::chrono::milliseconds request_scheduler::suggest_retry_after(const std::string& service)
{
    auto& desk = this->queues_of(service);
    desk.retry_advice.record_rejection();
    const auto start = desk.queue.estimate_start_time(std::numeric_limits<std::uint32_t>::max());
    const auto wait = start == time_point::max() ? duration{0} : start - this->time.now();
    return desk.retry_advice.estimate(wait, this->random);
}

} // namespace tanager
