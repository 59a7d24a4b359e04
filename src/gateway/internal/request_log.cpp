#include "gateway/internal/request_log.h"

#include "base/text.h"
#include "logging/event_log.h"

#include <utility>

namespace tanager {

namespace {

std::string to_milliseconds(duration span)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(span).count());
}

std::string or_dash(const std::string& name)
{
    return name.empty() ? "-" : name;
}

std::string name_of_source(const slot_grant& grant)
{
    return grant.prefix_source == nullptr ? "-" : grant.prefix_source->id;
}

// Returns the name of the resource that was lacking.
std::string name_of_lacking(const std::optional<placement_error>& denial_reason)
{
    if (!denial_reason) {
        return "-";
    }
    switch (*denial_reason) {
    case placement_error::no_available_server:
        return "servers";
    case placement_error::no_free_slot:
        return "slots";
    case placement_error::share_exceeded:
        return "share";
    case placement_error::no_engine_in_time:
        return "prefill";
    case placement_error::link_busy:
        return "link";
    }
    return "unlisted";
}

} // namespace

request_log::request_log(std::string request_id, const request_traits& traits)
    : request_id(std::move(request_id)),
      content(to_hex(traits.content)),
      prompt_parts(to_hex_list(traits.prompt_parts))
{
}

void request_log::set_server(const std::string& id)
{
    this->server = id;
}

void request_log::write_prefill_sent(const slot_grant& grant, duration queue_time) const
{
    write_event(log_event::request_placed,
                {{"request", this->request_id},
                 {"reader", grant.prefill_engine->id},
                 {"server", this->server},
                 {"prefix_from", name_of_source(grant)},
                 {"tokens_before", std::to_string(grant.pending_prefill_tokens)},
                 {"waited_ms", to_milliseconds(queue_time)}});
}

void request_log::write_sent(const slot_grant& grant,
                             bool has_kv_cache,
                             duration queue_time,
                             const load_counts& load) const
{
    write_event(log_event::request_placed,
                {{"request", this->request_id},
                 {"server", this->server},
                 {"with_cache", has_kv_cache ? "yes" : "no"},
                 {"prefix_from", has_kv_cache ? "-" : name_of_source(grant)},
                 {"tokens_before", std::to_string(grant.pending_prefill_tokens)},
                 {"running", std::to_string(load.running_requests)},
                 {"long_outputs", std::to_string(load.long_outputs)},
                 {"waited_ms", to_milliseconds(queue_time)}});
}

void request_log::write_retry(const std::string& cause, std::uint32_t executions) const
{
    write_event(log_event::request_retried,
                {{"request", this->request_id},
                 {"content", this->content},
                 {"prompt_parts", this->prompt_parts},
                 {"server", this->server},
                 {"cause", cause},
                 {"runs", std::to_string(executions)}});
}

void request_log::write_response(const response_evidence& evidence, execution_state conclusion) const
{
    this->write_evidence(evidence, name_of(conclusion));
}

void request_log::write_skipped_response(const response_evidence& evidence) const
{
    this->write_evidence(evidence, "skipped");
}

void request_log::write_evidence(const response_evidence& evidence, std::string_view conclusion) const
{
    const auto since_sent = std::chrono::duration_cast<std::chrono::microseconds>(evidence.answered_after);
    write_event(log_event::response_judged,
                {{"request", this->request_id},
                 {"server", this->server},
                 {"status", std::to_string(evidence.head.status)},
                 {"id", std::string{name_of(evidence.head.id)}},
                 {"not_executed", evidence.head.states_not_executed ? "yes" : "no"},
                 {"digest", evidence.head.has_digest ? "yes" : "no"},
                 {"connection", std::to_string(evidence.connection.number)},
                 {"earlier_requests", std::to_string(evidence.connection.earlier_requests)},
                 {"answered_after_us", std::to_string(since_sent.count())},
                 {"conclusion", std::string{conclusion}}});
}

void request_log::write_retry_denied(const std::string& service,
                                     const std::string& cause,
                                     const retry_budget& retries) const
{
    const auto& allowance = retries.allowance();
    write_event(log_event::retry_denied,
                {{"request", this->request_id},
                 {"service", service},
                 {"cause", cause},
                 {"balance", std::to_string(retries.balance(service))},
                 {"max_balance", std::to_string(allowance.max_balance)},
                 {"per_second", std::to_string(allowance.retries_per_second)},
                 {"gateways", std::to_string(allowance.gateway_count)}});
}

void request_log::write_hedge_sent(const std::string& server_id, duration waited) const
{
    write_event(log_event::hedge_sent,
                {{"request", this->request_id},
                 {"server", server_id},
                 {"first_server", this->server},
                 {"waited_ms", to_milliseconds(waited)}});
}

void request_log::write_hedge_withheld(hedge_verdict verdict, const hedge_situation& situation) const
{
    write_event(log_event::hedge_withheld,
                {{"request", this->request_id},
                 {"first_server", this->server},
                 {"reason", std::string{name_of(verdict)}},
                 {"used_slots", std::to_string(situation.used_slots)},
                 {"total_slots", std::to_string(situation.total_slots)},
                 {"retry_balance", std::to_string(situation.retry_balance)}});
}

void request_log::write_hedge_ended(const std::string& server_id,
                                    std::string_view outcome,
                                    duration elapsed) const
{
    write_event(log_event::hedge_ended,
                {{"request", this->request_id},
                 {"server", server_id},
                 {"outcome", std::string{outcome}},
                 {"elapsed_ms", to_milliseconds(elapsed)}});
}

void request_log::write_broken(const error& cause, const std::string& outcome) const
{
    write_event(log_event::request_broken,
                {{"request", this->request_id},
                 {"content", this->content},
                 {"prompt_parts", this->prompt_parts},
                 {"cause", cause.detail},
                 {"server", this->server},
                 {"outcome", outcome}});
}

void request_log::write_rejection(const error& cause, const rejection_details& details) const
{
    write_event(log_event::request_rejected,
                {{"request", this->request_id},
                 {"content", this->content},
                 {"organisation", or_dash(details.organisation)},
                 {"cause", cause.detail},
                 {"configuration", std::to_string(details.configuration_version)},
                 {"lacking", name_of_lacking(details.denial_reason)},
                 {"places", std::to_string(details.slots.total_slots)},
                 {"running_here", std::to_string(details.slots.local_running)},
                 {"running_elsewhere", std::to_string(details.slots.peer_running)},
                 {"asked_here", std::to_string(details.slots.local_arrivals)},
                 {"asked_elsewhere", std::to_string(details.slots.peer_arrivals)},
                 {"age_ms", to_milliseconds(details.slots.peer_report_age)},
                 {"time_left_ms", std::to_string(details.caller_timeout.count())},
                 {"objective_lost", details.has_missed_objective ? "yes" : "no"},
                 {"waited_ms", to_milliseconds(details.queue_time)},
                 {"retry_after_ms", std::to_string(details.retry_after.count())}});
}

void request_log::write_abandoned(duration elapsed) const
{
    write_event(log_event::request_abandoned,
                {{"request", this->request_id}, {"elapsed_ms", to_milliseconds(elapsed)}});
}

void request_log::write_end(const request_summary& summary) const
{
    write_event(log_event::request_finished,
                {{"request", this->request_id},
                 {"content", this->content},
                 {"route", summary.route},
                 {"organisation", or_dash(summary.organisation)},
                 {"configuration", std::to_string(summary.configuration_version)},
                 {"server", this->server},
                 {"outcome", summary.outcome},
                 {"status", std::to_string(summary.status)},
                 {"runs", std::to_string(summary.executions)},
                 {"waited_ms", to_milliseconds(summary.queue_time)},
                 {"first_ms", to_milliseconds(summary.time_to_first_event)},
                 {"total_ms", to_milliseconds(summary.total)},
                 {"output_tokens", std::to_string(summary.max_output_tokens)},
                 {"events", std::to_string(summary.events)},
                 {"longest_pause_ms", to_milliseconds(summary.max_event_gap)},
                 {"running", std::to_string(summary.load_on_server.running_requests)},
                 {"unread_tokens", std::to_string(summary.load_on_server.pending_prefill_tokens)},
                 {"long_outputs", std::to_string(summary.load_on_server.long_outputs)}});
}

} // namespace tanager
