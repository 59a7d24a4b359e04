#include "gateway/request_scheduler.h"

#include <algorithm>
#include <limits>

namespace tanager {

namespace {

// Requests that have missed their objective get slots only while slot usage is below this ratio.
constexpr double max_late_slot_usage_ratio = 0.7;

} // namespace

request_scheduler::request_scheduler(const clock& time,
                                     random_source& random,
                                     server_pool& pool,
                                     const uplink_queue_model& link,
                                     const demand_meter& demand)
    : time(time), random(random), pool(pool), link(link), sending(link), demand(demand)
{
}

request_scheduler::service_queues& request_scheduler::queues_of(const std::string& service)
{
    return this->queues_by_service.try_emplace(service, this->time).first->second;
}

slot_wait_queue& request_scheduler::queue_of(const slot_request& request)
{
    auto& queues = this->queues_of(request.service);
    return request.prompt.has_long_output() ? queues.long_output_queue : queues.queue;
}

// Long outputs are exempt from the share since they are few and hold their slots for seconds. Requests that
// are prefilled or may have executed are exempt since the work done for them would be lost.
bool request_scheduler::is_within_share(const slot_request& request,
                                        const std::vector<placement_candidate>& candidates)
{
    if (request.prompt.has_long_output() || request.is_prefilled || request.may_have_executed) {
        return true;
    }
    const auto usage = this->count_slots(request.service, candidates);
    if (request.has_missed_objective &&
        usage.local_running + usage.peer_running >= max_late_slot_usage_ratio * usage.total_slots) {
        return false;
    }
    return may_take_slot(usage);
}

slot_usage request_scheduler::count_slots(const std::string& service,
                                          const std::vector<placement_candidate>& candidates)
{
    slot_usage usage;
    for (const auto& candidate : candidates) {
        if (candidate.server->role != engine_role::prefill && !candidate.is_excluded) {
            usage.total_slots += candidate.server->slots;
            usage.local_running += candidate.local_running;
            usage.peer_running += candidate.peer_running;
        }
    }
    usage.local_arrivals = this->demand.prompts_last_second(service);
    usage.peer_arrivals = this->pool.peer_prompts_per_second(service);
    usage.peer_report_age = this->pool.peer_report_age();
    return usage;
}

slot_usage request_scheduler::slot_usage_of(const std::string& service)
{
    return this->count_slots(service, this->pool.candidates(service, 0, {}));
}

placement_result request_scheduler::choose(const slot_request& request,
                                           std::vector<placement_candidate>& candidates)
{
    candidates = this->pool.candidates(request.service, request.prompt.prefix_key, request.tried_server_ids);
    if (!request.is_model) {
        return choose_plain_server(candidates, this->random);
    }
    if (request.is_prefilled) {
        return choose_decode_engine(candidates, this->random);
    }
    const auto on_link = this->make_link_demand(request);
    const bool is_paced = !request.organisation.empty();
    if (is_paced && !request.may_have_executed && !this->sending.may_send_now(on_link)) {
        return tl::make_unexpected(placement_error::link_busy);
    }
    if (!this->is_within_share(request, candidates)) {
        return tl::make_unexpected(placement_error::share_exceeded);
    }
    if (!request.allows_separate_prefill || (is_paced && !this->sending.may_send_twice(on_link))) {
        std::erase_if(candidates,
                      [](const auto& candidate) { return candidate.server->role == engine_role::prefill; });
    }
    const auto time_left =
        std::chrono::floor<std::chrono::milliseconds>(request.first_event_deadline - this->time.now());
    return choose_engines(request.prompt,
                          {time_left, request.gap_objective},
                          candidates,
                          this->random,
                          this->link.estimate_send_delay(request.request_bytes));
}

slot_grant request_scheduler::take_slot(const slot_request& request,
                                        const placement& chosen,
                                        const std::vector<placement_candidate>& candidates)
{
    slot_grant granted{candidates[chosen.server].server, nullptr, nullptr, chosen.prefill_tokens, 0};
    if (chosen.prefix_source) {
        granted.prefix_source = candidates[*chosen.prefix_source].server;
    }
    if (chosen.prefill_engine) {
        granted.prefill_engine = candidates[*chosen.prefill_engine].server;
    }
    this->queues_of(request.service).shares.record_start(request.organisation);
    this->pool.begin_request(granted.server->id, request.prompt.has_long_output());
    if (granted.prefill_tokens > 0) {
        const auto& prefill_server =
            granted.prefill_engine == nullptr ? granted.server : granted.prefill_engine;
        granted.pending_prefill_tokens =
            this->pool.begin_prefill(*prefill_server, request.prompt.prefix_key, granted.prefill_tokens);
    }
    return granted;
}

void request_scheduler::grant(const slot_request& request,
                              const placement& chosen,
                              const std::vector<placement_candidate>& candidates,
                              slot_listener& listener)
{
    listener.on_slot_granted(this->take_slot(request, chosen, candidates));
}

void request_scheduler::deny(slot_listener& listener, placement_error reason)
{
    this->link_refusals += reason == placement_error::link_busy ? 1 : 0;
    listener.on_slot_denied(reason);
}

std::uint64_t request_scheduler::request_slot(const slot_request& request,
                                              const std::shared_ptr<slot_listener>& listener)
{
    const std::uint64_t ticket = ++this->last_ticket;
    auto& queue = this->queue_of(request);
    this->queues_of(request.service).shares.record_arrival(request.organisation);
    const auto first = queue.front();
    const bool is_first_in_queue = !first || first->priority > request.priority;
    std::vector<placement_candidate> candidates;
    const auto chosen = this->choose(request, candidates);
    if (!chosen && chosen.error() == placement_error::no_available_server) {
        listener->on_slot_denied(placement_error::no_available_server);
        return ticket;
    }
    if (chosen && is_first_in_queue) {
        this->grant(request, *chosen, candidates, *listener);
        return ticket;
    }
    const auto reason = chosen ? this->why_is_waiting(*first) : chosen.error();
    if (request.has_missed_objective || !this->try_queue(ticket, request, reason)) {
        this->deny(*listener, reason);
        return ticket;
    }
    this->queued_requests.emplace(ticket, queued_request{request, listener, reason});
    this->deny_displaced(queue);
    return ticket;
}

// Returns why a queued request was not placed when that was last tried.
placement_error request_scheduler::why_is_waiting(const waiting_request& waiting) const
{
    const auto found = this->queued_requests.find(waiting.ticket);
    return found != this->queued_requests.end() && found->second.last_error == placement_error::link_busy
               ? placement_error::link_busy
               : placement_error::no_free_slot;
}

// Queues the request if what it waits for is expected in time.
bool request_scheduler::try_queue(std::uint64_t ticket, const slot_request& request, placement_error reason)
{
    auto& queue = this->queue_of(request);
    const waiting_request waiting{ticket, request.priority, request.start_deadline, request.organisation};
    if (reason != placement_error::link_busy) {
        return queue.try_push(waiting);
    }
    if (!this->can_carry_in_time(request)) {
        return false;
    }
    queue.push(waiting);
    return true;
}

std::size_t request_scheduler::queued_bytes() const
{
    std::size_t bytes = 0;
    for (const auto& [ticket, queued] : this->queued_requests) {
        bytes += queued.request.request_bytes;
    }
    return bytes;
}

link_demand request_scheduler::make_link_demand(const slot_request& request) const
{
    return {request.request_bytes, 0, request.latency_objective, request.start_deadline - this->time.now()};
}

bool request_scheduler::can_carry_in_time(const slot_request& request)
{
    auto on_link = this->make_link_demand(request);
    if (!this->queued_requests.empty()) {
        const auto ahead = this->queue_of(request).count_ahead(request.priority, request.organisation);
        on_link.bytes_ahead = ahead * (this->queued_bytes() / this->queued_requests.size());
    }
    return this->sending.can_carry_in_time(on_link);
}

std::uint64_t request_scheduler::link_refusal_count() const
{
    return this->link_refusals;
}

std::size_t request_scheduler::counted_organisations() const
{
    std::size_t counted = 0;
    for (const auto& [service, queues] : this->queues_by_service) {
        counted = std::max(counted, queues.shares.size());
    }
    return counted;
}

duration request_scheduler::link_wait() const
{
    return this->sending.expected_wait(this->queued_bytes());
}

std::optional<slot_grant> request_scheduler::try_take_slot(const slot_request& request)
{
    if (this->is_work_waiting(request.service) || !this->has_spare_slot(request)) {
        return std::nullopt;
    }
    std::vector<placement_candidate> candidates;
    const auto chosen = this->choose(request, candidates);
    return chosen ? std::optional{this->take_slot(request, *chosen, candidates)} : std::nullopt;
}

bool request_scheduler::is_work_waiting(const std::string& service)
{
    const auto& queues = this->queues_of(service);
    return queues.queue.size() + queues.long_output_queue.size() > 0;
}

bool request_scheduler::has_free_slot(const slot_request& request)
{
    std::vector<placement_candidate> candidates;
    return this->choose(request, candidates).has_value();
}

bool request_scheduler::has_spare_slot(const slot_request& request) const
{
    const auto candidates =
        this->pool.candidates(request.service, request.prompt.prefix_key, request.tried_server_ids);
    return std::ranges::any_of(candidates, [](const auto& candidate) {
        return !candidate.was_tried && !candidate.is_excluded && !candidate.is_probing &&
               candidate.local_running + candidate.peer_running < candidate.server->slots;
    });
}

void request_scheduler::cancel(std::uint64_t ticket)
{
    const auto found = this->queued_requests.find(ticket);
    if (found == this->queued_requests.end()) {
        return;
    }
    this->queue_of(found->second.request).remove(ticket);
    this->queued_requests.erase(found);
}

void request_scheduler::release_slot(const slot_request& request, const std::string& server_id)
{
    this->pool.end_request(server_id, request.prompt.has_long_output());
    auto& queues = this->queues_of(request.service);
    queues.queue.record_slot_release();
    queues.long_output_queue.record_slot_release();
    this->process_queues_of(queues);
}

void request_scheduler::release_prefill(const std::string& service,
                                        const std::string& server_id,
                                        std::uint32_t tokens)
{
    this->pool.end_prefill(server_id, tokens);
    this->process_queues_of(this->queues_of(service));
}

void request_scheduler::process_queues_of(service_queues& queues)
{
    this->process_queue(queues.long_output_queue);
    this->process_queue(queues.queue);
}

void request_scheduler::deny_displaced(slot_wait_queue& queue)
{
    const auto first = queue.front();
    if (!first || this->why_is_waiting(*first) == placement_error::link_busy) {
        return; // the rate at which slots are released says nothing of the link
    }
    for (const auto& displaced : queue.remove_displaced()) {
        const auto entry = this->queued_requests.extract(displaced.ticket);
        if (!entry.empty()) {
            this->deny(*entry.mapped().listener, entry.mapped().last_error);
        }
    }
}

void request_scheduler::process_queue(slot_wait_queue& queue)
{
    for (const auto& expired : queue.remove_expired()) {
        const auto entry = this->queued_requests.extract(expired.ticket);
        if (!entry.empty()) {
            this->deny(*entry.mapped().listener, entry.mapped().last_error);
        }
    }
    for (auto next = queue.front(); next; next = queue.front()) {
        const auto found = this->queued_requests.find(next->ticket);
        if (found == this->queued_requests.end()) {
            queue.remove(next->ticket);
            continue;
        }
        std::vector<placement_candidate> candidates;
        const auto chosen = this->choose(found->second.request, candidates);
        if (!chosen && chosen.error() != placement_error::no_available_server) {
            found->second.last_error = chosen.error();
            return;
        }
        queue.remove(next->ticket);
        const auto entry = this->queued_requests.extract(found);
        if (!chosen) {
            entry.mapped().listener->on_slot_denied(chosen.error());
            continue;
        }
        this->grant(entry.mapped().request, *chosen, candidates, *entry.mapped().listener);
    }
}

void request_scheduler::process_queues()
{
    for (auto& [service, queues] : this->queues_by_service) {
        if (queues.queue.size() + queues.long_output_queue.size() > 0) {
            this->process_queues_of(queues);
        }
    }
}

std::size_t request_scheduler::queued_count() const
{
    return this->queued_requests.size();
}

std::chrono::milliseconds request_scheduler::suggest_retry_elsewhere(const slot_request& request)
{
    const auto others =
        this->pool.link_room_of_peers(sending_plan::max_link_queue(request.latency_objective));
    const auto elsewhere = retry_after_elsewhere(others);
    const auto usage = this->slot_usage_of(request.service);
    const bool has_free_slots = usage.local_running + usage.peer_running < usage.total_slots;
    return elsewhere && has_free_slots ? *elsewhere : this->suggest_retry_after(request.service);
}

std::chrono::milliseconds request_scheduler::suggest_retry_after(const std::string& service)
{
    auto& queues = this->queues_of(service);
    queues.retry_after.record_rejection();
    const auto start = queues.queue.estimate_start_time(std::numeric_limits<std::uint32_t>::max());
    const auto wait = start == time_point::max() ? duration{0} : start - this->time.now();
    return queues.retry_after.estimate(wait, this->random);
}

} // namespace tanager
