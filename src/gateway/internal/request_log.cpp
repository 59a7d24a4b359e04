#include "gateway/internal/request_log.h"

#include "logging/event_log.h"

#include <utility>

namespace tanager {

namespace {

std::string to_milliseconds(duration span)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(span).count());
}

} // namespace

run_log::run_log(std::string request_id) : request_id(std::move(request_id)) {}

void run_log::use_server(const std::string& id)
{
    this->server = id;
}

void run_log::write_reading(const granted_place& place, duration waited) const
{
    write_event(log_event::request_placed,
                {{"request", this->request_id},
                 {"reader", place.reader->id},
                 {"server", this->server},
                 {"tokens_before", std::to_string(place.tokens_before)},
                 {"waited_ms", to_milliseconds(waited)}});
}

void run_log::write_sent(const granted_place& place,
                         bool with_cache,
                         duration waited,
                         const own_load& company) const
{
    write_event(log_event::request_placed,
                {{"request", this->request_id},
                 {"server", this->server},
                 {"with_cache", with_cache ? "yes" : "no"},
                 {"tokens_before", std::to_string(place.tokens_before)},
                 {"running", std::to_string(company.running)},
                 {"long_outputs", std::to_string(company.long_outputs)},
                 {"waited_ms", to_milliseconds(waited)}});
}

void run_log::write_retry(const std::string& cause, std::uint32_t runs) const
{
    write_event(log_event::request_retried,
                {{"request", this->request_id},
                 {"server", this->server},
                 {"cause", cause},
                 {"runs", std::to_string(runs)}});
}

void run_log::write_broken(const error& cause, const std::string& outcome) const
{
    write_event(log_event::request_broken,
                {{"request", this->request_id},
                 {"cause", cause.detail},
                 {"server", this->server},
                 {"outcome", outcome}});
}

void run_log::write_rejection(const error& cause, const rejection_inputs& inputs) const
{
    write_event(log_event::request_rejected,
                {{"request", this->request_id},
                 {"cause", cause.detail},
                 {"configuration", std::to_string(inputs.configuration_version)},
                 {"places", std::to_string(inputs.places.total_slots)},
                 {"running_here", std::to_string(inputs.places.local_running)},
                 {"running_elsewhere", std::to_string(inputs.places.peer_running)},
                 {"asked_here", std::to_string(inputs.places.local_arrivals)},
                 {"asked_elsewhere", std::to_string(inputs.places.peer_arrivals)},
                 {"age_ms", to_milliseconds(inputs.places.peer_report_age)},
                 {"time_left_ms", std::to_string(inputs.time_left.count())},
                 {"objective_lost", inputs.is_late ? "yes" : "no"},
                 {"waited_ms", to_milliseconds(inputs.waited)},
                 {"retry_after_ms", std::to_string(inputs.retry_after.count())}});
}

void run_log::write_abandoned(duration elapsed) const
{
    write_event(log_event::request_abandoned,
                {{"request", this->request_id}, {"elapsed_ms", to_milliseconds(elapsed)}});
}

void run_log::write_end(const run_summary& summary) const
{
    write_event(log_event::request_finished,
                {{"request", this->request_id},
                 {"route", summary.route},
                 {"configuration", std::to_string(summary.configuration_version)},
                 {"server", this->server},
                 {"outcome", summary.outcome},
                 {"status", std::to_string(summary.status)},
                 {"runs", std::to_string(summary.runs)},
                 {"waited_ms", to_milliseconds(summary.waited)},
                 {"first_ms", to_milliseconds(summary.first_event)},
                 {"total_ms", to_milliseconds(summary.total)},
                 {"output_tokens", std::to_string(summary.output_tokens)},
                 {"events", std::to_string(summary.events)},
                 {"longest_pause_ms", to_milliseconds(summary.longest_pause)},
                 {"running", std::to_string(summary.company.running)},
                 {"unread_tokens", std::to_string(summary.company.unread_tokens)},
                 {"long_outputs", std::to_string(summary.company.long_outputs)}});
}

} // namespace tanager
