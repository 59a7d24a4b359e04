#include "logging/types/log_event.h"

#include <algorithm>
#include <array>

namespace tanager {

namespace {

struct event_row {
    log_event event;
    std::string_view name;
    log_level level;
};

constexpr std::array event_rows{
    event_row{log_event::program_started, "program_started", log_level::info},
    event_row{log_event::program_listening, "program_listening", log_level::info},
    event_row{log_event::stop_requested, "stop_requested", log_level::info},
    event_row{log_event::program_stopped, "program_stopped", log_level::info},
    event_row{log_event::program_failed, "program_failed", log_level::error},
    event_row{log_event::invariant_violated, "invariant_violated", log_level::error},
    event_row{log_event::catalogue_applied, "catalogue_applied", log_level::info},
    event_row{log_event::catalogue_rejected, "catalogue_rejected", log_level::error},
    event_row{log_event::store_unavailable, "store_unavailable", log_level::warning},
    event_row{log_event::store_list_incomplete, "store_list_incomplete", log_level::warning},
    event_row{log_event::server_leaving, "server_leaving", log_level::info},
    event_row{log_event::store_recovered, "store_recovered", log_level::info},
    event_row{log_event::host_list_changed, "host_list_changed", log_level::info},
    event_row{log_event::catalogue_pulled, "catalogue_pulled", log_level::info},
    event_row{log_event::request_refused, "request_refused", log_level::info},
    event_row{log_event::request_completed, "request_completed", log_level::debug},
    event_row{log_event::request_failed, "request_failed", log_level::warning},
    event_row{log_event::caller_left, "caller_left", log_level::info},
    event_row{log_event::attempt_retried, "attempt_retried", log_level::info},
    event_row{log_event::frame_dropped, "frame_dropped", log_level::warning},
    event_row{log_event::agent_connected, "agent_connected", log_level::info},
    event_row{log_event::agent_suspected, "agent_suspected", log_level::warning},
    event_row{log_event::agent_leaving, "agent_leaving", log_level::info},
    event_row{log_event::attempt_settled, "attempt_settled", log_level::info},
    event_row{log_event::claim_recorded, "claim_recorded", log_level::debug},
    event_row{log_event::duty_taken, "duty_taken", log_level::info},
    event_row{log_event::duty_lost, "duty_lost", log_level::info},
    event_row{log_event::usage_fixed, "usage_fixed", log_level::info},
    event_row{log_event::usage_sent, "usage_sent", log_level::info},
    event_row{log_event::usage_late, "usage_late", log_level::warning},
    event_row{log_event::usage_postponed, "usage_postponed", log_level::warning},
    event_row{log_event::usage_given_up, "usage_given_up", log_level::warning},
    event_row{log_event::usage_left_out, "usage_left_out", log_level::warning},
    event_row{log_event::time_corrected, "time_corrected", log_level::warning},
    event_row{log_event::attempt_refused, "attempt_refused", log_level::info},
    event_row{log_event::attempt_finished, "attempt_finished", log_level::debug},
    event_row{log_event::attempt_failed, "attempt_failed", log_level::warning},
    event_row{log_event::entry_connected, "entry_connected", log_level::info},
    event_row{log_event::entry_disconnected, "entry_disconnected", log_level::info},
    event_row{log_event::backend_unreachable, "backend_unreachable", log_level::warning},
    event_row{log_event::backend_crashed, "backend_crashed", log_level::warning},
    event_row{log_event::backend_reachable, "backend_reachable", log_level::info},
    event_row{log_event::store_history_lost, "store_history_lost", log_level::warning},
    event_row{log_event::configuration_applied, "configuration_applied", log_level::info},
    event_row{log_event::configuration_rejected, "configuration_rejected", log_level::error},
    event_row{log_event::server_listed, "server_listed", log_level::info},
    event_row{log_event::server_unlisted, "server_unlisted", log_level::info},
    event_row{log_event::server_entry_invalid, "server_entry_invalid", log_level::warning},
    event_row{log_event::changes_relayed, "changes_relayed", log_level::info},
    event_row{log_event::relay_used, "relay_used", log_level::info},
    event_row{log_event::relay_lost, "relay_lost", log_level::info},
    event_row{log_event::store_object_unreadable, "store_object_unreadable", log_level::warning},
    event_row{log_event::store_called, "store_called", log_level::info},
    event_row{log_event::store_era_changed, "store_era_changed", log_level::warning},
    event_row{log_event::store_era_rejected, "store_era_rejected", log_level::warning},
    event_row{log_event::store_registration_renewed, "store_registration_renewed", log_level::info},
    event_row{log_event::feed_behind, "feed_behind", log_level::warning},
    event_row{log_event::feed_caught_up, "feed_caught_up", log_level::info},
    event_row{log_event::log_lines_dropped, "log_lines_dropped", log_level::warning},
    event_row{log_event::settings_reloaded, "settings_reloaded", log_level::info},
    event_row{log_event::address_in_use, "address_in_use", log_level::warning},
    event_row{log_event::connection_shed, "connection_shed", log_level::warning},
    event_row{log_event::callback_failed, "callback_failed", log_level::error},
    event_row{log_event::settings_defaulted, "settings_defaulted", log_level::warning},
    event_row{log_event::request_placed, "request_placed", log_level::info},
    event_row{log_event::request_finished, "request_finished", log_level::info},
    event_row{log_event::request_rejected, "request_rejected", log_level::info},
    event_row{log_event::request_broken, "request_broken", log_level::warning},
    event_row{log_event::request_abandoned, "request_abandoned", log_level::info},
    event_row{log_event::request_retried, "request_retried", log_level::info},
    event_row{log_event::server_suspected, "server_suspected", log_level::warning},
    event_row{log_event::server_trusted, "server_trusted", log_level::info},
    event_row{log_event::peer_heard, "peer_heard", log_level::info},
    event_row{log_event::peer_silent, "peer_silent", log_level::info},
    event_row{log_event::loop_gap, "loop_gap", log_level::warning},
    event_row{log_event::server_end_checked, "server_end_checked", log_level::info},
    event_row{log_event::request_suspected, "request_suspected", log_level::warning},
    event_row{log_event::request_cleared, "request_cleared", log_level::info},
    event_row{log_event::quarantine_changed, "quarantine_changed", log_level::warning},
    event_row{log_event::quarantines_listed, "quarantines_listed", log_level::info},
    event_row{log_event::quarantine_recorded, "quarantine_recorded", log_level::info},
    event_row{log_event::server_suspended, "server_suspended", log_level::warning},
    event_row{log_event::server_resumed, "server_resumed", log_level::info},
    event_row{log_event::order_authority, "order_authority", log_level::info},
    event_row{log_event::order_sent, "order_sent", log_level::info},
    event_row{log_event::order_settled, "order_settled", log_level::info},
    event_row{log_event::role_change_decided, "role_change_decided", log_level::info},
    event_row{log_event::role_change_ended, "role_change_ended", log_level::info},
    event_row{log_event::long_outputs_gathered, "long_outputs_gathered", log_level::info},
    event_row{log_event::response_judged, "response_judged", log_level::info},
    event_row{log_event::retry_share_changed, "retry_share_changed", log_level::info},
    event_row{log_event::retry_denied, "retry_denied", log_level::info},
    event_row{log_event::organisation_entry_invalid, "organisation_entry_invalid", log_level::warning},
    event_row{log_event::keys_uncertain, "keys_uncertain", log_level::warning},
    event_row{log_event::keys_certain, "keys_certain", log_level::info},
    event_row{log_event::hedge_sent, "hedge_sent", log_level::info},
    event_row{log_event::hedge_withheld, "hedge_withheld", log_level::info},
    event_row{log_event::hedge_ended, "hedge_ended", log_level::info},
    event_row{log_event::link_full, "link_full", log_level::warning},
    event_row{log_event::engine_speed_rated, "engine_speed_rated", log_level::info},
    event_row{log_event::fault_switched, "fault_switched", log_level::info},
};

} // namespace

std::string_view name_of(log_event event)
{
    const auto* const row = std::ranges::find(event_rows, event, &event_row::event);
    return row == event_rows.end() ? "unlisted" : row->name;
}

log_level level_of(log_event event)
{
    const auto* const row = std::ranges::find(event_rows, event, &event_row::event);
    return row == event_rows.end() ? log_level::error : row->level;
}

} // namespace tanager
