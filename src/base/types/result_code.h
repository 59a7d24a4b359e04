// Numbered result codes of the whole product, grouped by module.
//
// Each module has a block of one hundred numbers. A number is never reused with another meaning.
// docs/RESULT_CODES.md lists every code with its cause and the HTTP status that callers receive.
#pragma once

#include <string_view>

namespace tanager {

enum class result_code : int {
    ok = 0,

    // 100: base and settings
    invalid_argument = 101,
    settings_unreadable = 102,
    settings_invalid = 103,

    // 200: net
    address_invalid = 201,
    listen_failed = 202,
    connect_failed = 203,
    connection_lost = 204,
    reply_malformed = 205,
    timed_out = 206,
    loop_unavailable = 207,

    // 300: requests rejected by an entry
    request_malformed = 301,
    field_missing = 302,
    field_invalid = 303,
    caller_unknown = 305,
    entry_unknown = 306,
    entry_not_owned = 307,
    path_unknown = 308,
    method_not_allowed = 309,
    not_ready = 310,
    route_unknown = 311,
    framing_ambiguous = 312,

    // 400: admission, routing and retries
    member_over_cap = 401,
    agent_share_full = 402,
    agent_queue_full = 403,
    no_agent_available = 404,
    deadline_unreachable = 405,
    request_too_large_for_pool = 407,
    agent_leaving = 408,
    agent_incarnation_changed = 409,
    agent_not_ready = 410,
    attempt_cancelled = 411,
    attempt_repeated = 412,
    no_server_available = 413,
    no_place_in_time = 414,

    // 500: backend servers and answers
    backend_unreachable = 501,
    backend_failed = 502,
    backend_answer_truncated = 503,
    backend_answer_malformed = 504,
    answer_incomplete = 505,
    outcome_unknown = 506,
    agent_connection_lost = 507,
    backend_crashed = 508,
    backend_refused = 509,
    backend_answer_foreign = 510,

    // 600: platform and catalogue
    store_unavailable = 601,
    version_conflict = 602,
    object_unknown = 603,
    catalogue_invalid = 604,
    history_lost = 605,
    configuration_invalid = 606,
    configuration_outdated = 607,
    store_call_rejected = 608,
    store_answer_malformed = 609,

    // 700: non-idempotent work with an idempotency key
    claim_in_progress = 701,
    claim_key_reused = 702,
    claim_outcome_unknown = 703,
    claim_window_closed = 704,
    claim_store_unavailable = 705,
    claim_store_full = 706,
    claim_answer_not_kept = 707,

    // 800: requests that crash backend servers
    request_quarantined = 801,
    servers_ended_under_request = 802,
};

// Returns the stable lower-case name of a code, as it appears in logs, HTTP responses and docs.
std::string_view name_of(result_code code);

// Returns the HTTP status that reports a code to a caller.
int http_status_of(result_code code);

} // namespace tanager
