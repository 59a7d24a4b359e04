#include "base/types/result_code.h"

#include <algorithm>
#include <array>

namespace tanager {

namespace {

struct code_row {
    result_code code;
    std::string_view name;
    int http_status;
};

constexpr int status_bad_request = 400;
constexpr int status_unauthorized = 401;
constexpr int status_forbidden = 403;
constexpr int status_not_found = 404;
constexpr int status_method_not_allowed = 405;
constexpr int status_conflict = 409;
constexpr int status_too_large = 413;
constexpr int status_unprocessable = 422;
constexpr int status_too_many = 429;
constexpr int status_internal = 500;
constexpr int status_bad_gateway = 502;
constexpr int status_unavailable = 503;
constexpr int status_gateway_timeout = 504;

constexpr std::array code_rows{
    code_row{result_code::ok, "ok", 200},
    code_row{result_code::invalid_argument, "invalid_argument", status_bad_request},
    code_row{result_code::settings_unreadable, "settings_unreadable", status_internal},
    code_row{result_code::settings_invalid, "settings_invalid", status_internal},
    code_row{result_code::address_invalid, "address_invalid", status_internal},
    code_row{result_code::listen_failed, "listen_failed", status_internal},
    code_row{result_code::connect_failed, "connect_failed", status_bad_gateway},
    code_row{result_code::connection_lost, "connection_lost", status_bad_gateway},
    code_row{result_code::reply_malformed, "reply_malformed", status_bad_gateway},
    code_row{result_code::timed_out, "timed_out", status_gateway_timeout},
    code_row{result_code::loop_unavailable, "loop_unavailable", status_internal},
    code_row{result_code::request_malformed, "request_malformed", status_bad_request},
    code_row{result_code::field_missing, "field_missing", status_bad_request},
    code_row{result_code::field_invalid, "field_invalid", status_bad_request},
    code_row{result_code::caller_unknown, "caller_unknown", status_unauthorized},
    code_row{result_code::entry_unknown, "entry_unknown", status_not_found},
    code_row{result_code::entry_not_owned, "entry_not_owned", status_forbidden},
    code_row{result_code::path_unknown, "path_unknown", status_not_found},
    code_row{result_code::method_not_allowed, "method_not_allowed", status_method_not_allowed},
    code_row{result_code::not_ready, "not_ready", status_unavailable},
    code_row{result_code::route_unknown, "route_unknown", status_not_found},
    code_row{result_code::framing_ambiguous, "framing_ambiguous", status_bad_request},
    code_row{result_code::member_over_cap, "member_over_cap", status_too_many},
    code_row{result_code::agent_share_full, "agent_share_full", status_too_many},
    code_row{result_code::agent_queue_full, "agent_queue_full", status_unavailable},
    code_row{result_code::no_agent_available, "no_agent_available", status_unavailable},
    code_row{result_code::deadline_unreachable, "deadline_unreachable", status_unavailable},
    code_row{result_code::request_too_large_for_pool, "request_too_large_for_pool", status_too_large},
    code_row{result_code::agent_leaving, "agent_leaving", status_unavailable},
    code_row{result_code::agent_incarnation_changed, "agent_incarnation_changed", status_unavailable},
    code_row{result_code::agent_not_ready, "agent_not_ready", status_unavailable},
    code_row{result_code::attempt_cancelled, "attempt_cancelled", status_unavailable},
    code_row{result_code::attempt_repeated, "attempt_repeated", status_conflict},
    code_row{result_code::no_server_available, "no_server_available", status_unavailable},
    code_row{result_code::no_place_in_time, "no_place_in_time", status_unavailable},
    code_row{result_code::backend_unreachable, "backend_unreachable", status_bad_gateway},
    code_row{result_code::backend_failed, "backend_failed", status_bad_gateway},
    code_row{result_code::backend_answer_truncated, "backend_answer_truncated", status_bad_gateway},
    code_row{result_code::backend_answer_malformed, "backend_answer_malformed", status_bad_gateway},
    code_row{result_code::answer_incomplete, "answer_incomplete", status_bad_gateway},
    code_row{result_code::outcome_unknown, "outcome_unknown", status_bad_gateway},
    code_row{result_code::agent_connection_lost, "agent_connection_lost", status_bad_gateway},
    code_row{result_code::backend_crashed, "backend_crashed", status_bad_gateway},
    code_row{result_code::backend_refused, "backend_refused", status_unavailable},
    code_row{result_code::backend_answer_foreign, "backend_answer_foreign", status_bad_gateway},
    code_row{result_code::request_quarantined, "request_quarantined", status_unprocessable},
    code_row{result_code::servers_ended_under_request, "servers_ended_under_request", status_unavailable},
    code_row{result_code::store_unavailable, "store_unavailable", status_unavailable},
    code_row{result_code::version_conflict, "version_conflict", status_conflict},
    code_row{result_code::object_unknown, "object_unknown", status_not_found},
    code_row{result_code::catalogue_invalid, "catalogue_invalid", status_unprocessable},
    code_row{result_code::history_lost, "history_lost", status_unavailable},
    code_row{result_code::configuration_invalid, "configuration_invalid", status_unprocessable},
    code_row{result_code::configuration_outdated, "configuration_outdated", status_unavailable},
    code_row{result_code::store_call_rejected, "store_call_rejected", status_unavailable},
    code_row{result_code::store_answer_malformed, "store_answer_malformed", status_unavailable},
    code_row{result_code::claim_in_progress, "claim_in_progress", status_conflict},
    code_row{result_code::claim_key_reused, "claim_key_reused", status_unprocessable},
    code_row{result_code::claim_outcome_unknown, "claim_outcome_unknown", status_conflict},
    code_row{result_code::claim_window_closed, "claim_window_closed", status_unavailable},
    code_row{result_code::claim_store_unavailable, "claim_store_unavailable", status_unavailable},
    code_row{result_code::claim_store_full, "claim_store_full", status_unavailable},
    code_row{result_code::claim_answer_not_kept, "claim_answer_not_kept", status_conflict},
};

const code_row* find_row(result_code code)
{
    const auto* const row = std::ranges::find(code_rows, code, &code_row::code);
    return row == code_rows.end() ? nullptr : row;
}

} // namespace

std::string_view name_of(result_code code)
{
    const auto* const row = find_row(code);
    return row == nullptr ? "unlisted" : row->name;
}

int http_status_of(result_code code)
{
    const auto* const row = find_row(code);
    return row == nullptr ? status_internal : row->http_status;
}

} // namespace tanager
