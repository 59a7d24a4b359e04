// The numbered events that the programs log; docs/LOG_EVENTS.md lists them all.
#pragma once

#include <string_view>

namespace tanager {

enum class log_level { debug, info, warning, error };

enum class log_event : int {
    // 1000: every program
    program_started = 1001,
    program_listening = 1002,
    stop_requested = 1003,
    program_stopped = 1004,
    program_failed = 1005,
    invariant_violated = 1006,
    log_lines_dropped = 1007,
    settings_reloaded = 1008,
    settings_defaulted = 1009,
    callback_failed = 1010,
    address_in_use = 1011,
    connection_shed = 1012,

    // 2000: catalogue and platform
    catalogue_applied = 2001,
    catalogue_rejected = 2002,
    store_unavailable = 2003,
    store_recovered = 2004,
    host_list_changed = 2005,
    catalogue_pulled = 2006,
    store_history_lost = 2007,
    configuration_applied = 2008,
    configuration_rejected = 2009,
    server_listed = 2010,
    server_unlisted = 2011,
    server_entry_invalid = 2012,
    changes_relayed = 2013,
    relay_used = 2014,
    relay_lost = 2015,
    store_object_unreadable = 2016,
    store_called = 2017,
    store_era_changed = 2018,
    store_era_rejected = 2019,
    store_registration_renewed = 2020,
    store_list_incomplete = 2021,
    server_leaving = 2022,
    feed_behind = 2023,
    feed_caught_up = 2024,

    // 3000: entry
    request_refused = 3001,
    request_completed = 3002,
    request_failed = 3003,
    caller_left = 3004,
    attempt_retried = 3005,
    frame_dropped = 3006,
    agent_connected = 3007,
    agent_suspected = 3008,
    agent_leaving = 3009,
    attempt_settled = 3010,
    claim_recorded = 3011,
    request_placed = 3020,
    request_finished = 3021,
    request_rejected = 3022,
    request_broken = 3023,
    request_abandoned = 3024,
    request_retried = 3025,
    server_suspected = 3026,
    server_trusted = 3027,
    peer_heard = 3028,
    peer_silent = 3029,
    loop_gap = 3030,
    server_end_checked = 3031,
    request_suspected = 3032,
    request_cleared = 3033,
    quarantine_changed = 3034,
    quarantines_listed = 3035,
    quarantine_recorded = 3036,
    server_suspended = 3037,
    server_resumed = 3038,
    order_authority = 3040,
    order_sent = 3041,
    order_settled = 3042,
    role_change_decided = 3043,
    role_change_ended = 3044,
    long_outputs_gathered = 3045,
    response_judged = 3046,
    retry_share_changed = 3047,
    retry_denied = 3048,
    organisation_entry_invalid = 3050,
    keys_uncertain = 3051,
    keys_certain = 3052,
    hedge_sent = 3076,
    hedge_withheld = 3077,
    hedge_ended = 3078,
    duty_taken = 3055,
    duty_lost = 3056,
    usage_fixed = 3057,
    usage_sent = 3058,
    usage_late = 3059,
    usage_postponed = 3060,
    usage_given_up = 3061,
    usage_left_out = 3063,
    time_corrected = 3062,
    link_full = 3070,
    engine_speed_rated = 3065,

    // 4000: agent
    attempt_refused = 4001,
    attempt_finished = 4002,
    attempt_failed = 4003,
    entry_connected = 4005,
    entry_disconnected = 4006,
    backend_unreachable = 4007,
    backend_crashed = 4008,
    backend_reachable = 4009,

    // 5000: stand-ins
    fault_switched = 5001,
};

// Returns the stable lower-case name of an event.
std::string_view name_of(log_event event);

// Returns the level at which an event is written.
log_level level_of(log_event event);

} // namespace tanager
