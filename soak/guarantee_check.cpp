#include "soak/guarantee_check.h"

#include <algorithm>
#include <map>
#include <utility>

namespace tanager::soak {

namespace {

using namespace std::chrono_literals;

// From the documentation: a draining backend server gets no new work after a few seconds, and a gateway that
// lost its connection to the store meets its bounds again this long after the reconnection.
constexpr auto max_drain_delay = 2s;
constexpr auto max_store_reconnect_time = 3s;
// A configuration is in force this long after the store has accepted it, at gateways that have run and
// reached the store for the second time.
constexpr auto max_apply_time = 3s;
constexpr auto min_in_touch_time = 4s;
// Time that a caller's own bytes may take on a busy machine.
constexpr auto caller_tolerance = 500ms;
constexpr int status_ok = 200;
constexpr int status_not_found = 404;
constexpr int status_too_many_requests = 429;
constexpr int status_unavailable = 503;

std::string stream_body(const sent_request& request)
{
    std::string body;
    for (unsigned number = 1; number <= request.event_count; ++number) {
        body += "id: " + std::to_string(number) + "\ndata: " + request.body + "\n\n";
    }
    return body;
}

std::string expected_body(const sent_request& request)
{
    return request.kind == request_kind::stream ? stream_body(request) : "answer to " + request.body;
}

bool is_own_response(const sent_request& request)
{
    const auto& reply = *request.response;
    return reply.body == expected_body(request) && find_header(reply.headers, "Attempt-Id") == request.id &&
           find_header(reply.headers, "Response-Seal") == "seal-of-" + request.id;
}

class guarantee_checker {
public:
    explicit guarantee_checker(const soak_record& record) : record(record) {}

    std::vector<std::string> check_all()
    {
        for (const auto& end : this->record.unexpected_exits) {
            this->violations.push_back("keeps running: gateway " + end);
        }
        for (const auto& request : this->record.requests) {
            this->check_answered(*request);
            this->check_executions(*request);
            this->check_response(*request);
            this->check_graceful_stop(*request);
            this->check_draining(*request);
            this->check_added_route(*request);
            this->record_statement(*request);
        }
        for (const auto& request : this->record.requests) {
            this->check_leaving(*request);
        }
        this->check_configuration();
        return std::move(this->violations);
    }

private:
    void report(const std::string& guarantee, const sent_request& request, const std::string& detail)
    {
        this->violations.push_back(guarantee + ": request " + request.id + " at " + request.gateway_instance +
                                   ": " + detail);
    }

    unsigned execution_count(const sent_request& request) const
    {
        unsigned total = 0;
        for (const auto& [server, runs] : this->record.execution_counts) {
            const auto found = runs.find(request.id);
            total += found == runs.end() ? 0 : found->second;
        }
        return total;
    }

    bool was_undisturbed(time_point from, time_point until) const
    {
        return std::ranges::none_of(this->record.fault_intervals, [&](const auto& interval) {
            return interval.started_at <= until && interval.ended_at >= from;
        });
    }

    // The same for the faults that strike a gateway or the store.
    bool was_in_touch(const std::string& instance, time_point from, time_point until) const
    {
        const auto host = instance.substr(0, instance.find('#'));
        return std::ranges::none_of(this->record.fault_intervals, [&](const auto& interval) {
            return (interval.target.empty() || interval.target == host) && interval.started_at <= until &&
                   interval.ended_at >= from;
        });
    }

    void check_answered(const sent_request& request)
    {
        const bool has_no_response =
            !request.is_finished() ||
            (request.failure && request.failure->cause.code == result_code::timed_out);
        if (has_no_response) {
            this->report("answered", request, "no response long after its deadline");
        }
    }

    void check_executions(const sent_request& request)
    {
        const auto runs = this->execution_count(request);
        if (request.kind == request_kind::non_idempotent && runs > 1) {
            this->report("at most once", request, "ran " + std::to_string(runs) + " times");
        }
        const bool was_reported_not_run =
            request.response && (request.response->status == status_unavailable ||
                                 request.response->status == status_too_many_requests);
        if (request.kind == request_kind::non_idempotent && was_reported_not_run && runs > 0) {
            this->report("not run never ran", request, "the response said not run, but it ran");
        }
    }

    void check_response(const sent_request& request)
    {
        if (request.response && request.response->status == status_ok && !is_own_response(request)) {
            this->report("own complete response", request, "got: " + request.response->body.substr(0, 80));
        }
        const bool is_initial_route = request.kind != request_kind::added_route;
        if (is_initial_route && request.response && request.response->status == status_not_found) {
            this->report("configuration", request, "a route of the initial configuration was unknown");
        }
    }

    // A planned stop interrupts no request that was dispatched to a backend server or sent before the stop.
    void check_graceful_stop(const sent_request& request)
    {
        const auto stop = std::ranges::find(
            this->record.planned_stops, request.gateway_instance, &planned_stop::gateway_instance);
        const bool was_interrupted =
            request.failure && request.failure->progress == call_progress::maybe_sent;
        if (stop == this->record.planned_stops.end() || !was_interrupted ||
            request.finished_at < stop->requested_at) {
            return;
        }
        const bool is_covered = request.sent_at < stop->requested_at || this->execution_count(request) > 0;
        if (is_covered &&
            this->was_undisturbed(std::min(request.sent_at, stop->requested_at) - max_store_reconnect_time,
                                  request.finished_at)) {
            this->report("graceful stop", request, "interrupted: " + request.failure->cause.detail);
        }
    }

    void check_draining(const sent_request& request)
    {
        for (const auto& server : this->record.draining_servers) {
            const auto runs = this->record.execution_counts.find(server.id);
            const bool ran_there =
                runs != this->record.execution_counts.end() && runs->second.contains(request.id);
            const bool is_late = request.sent_at > server.announced_at + max_drain_delay + caller_tolerance;
            if (ran_there && is_late &&
                this->was_undisturbed(server.announced_at - max_store_reconnect_time, request.finished_at)) {
                this->report("draining servers get no work", request, "ran on " + server.id);
            }
        }
    }

    void check_added_route(const sent_request& request)
    {
        if (request.kind != request_kind::added_route || !request.response ||
            request.response->status != status_not_found) {
            return;
        }
        const auto added =
            std::ranges::find(this->record.added_routes, request.added_route_number, &added_route::number);
        if (added != this->record.added_routes.end() &&
            request.sent_at > added->acknowledged_at + max_apply_time + caller_tolerance &&
            this->was_in_touch(
                request.gateway_instance, request.sent_at - min_in_touch_time, request.finished_at)) {
            this->report(
                "configuration in time", request, "route " + std::to_string(added->number) + " was unknown");
        }
    }

    // Records when a gateway first passed on an answer in which a server states that it leaves.
    void record_statement(const sent_request& request)
    {
        if (!request.response || find_header(request.response->headers, "Server-Leaving") != "1") {
            return;
        }
        const auto server = find_header(request.response->headers, "Server-Id");
        const auto [row, is_first] =
            this->statements.emplace(std::pair{request.gateway_instance, server}, request.finished_at);
        row->second = std::min(row->second, request.finished_at);
    }

    // Only a pause of the gateway excuses it; after a restart it is another instance.
    void check_leaving(const sent_request& request)
    {
        for (const auto& [server, runs] : this->record.execution_counts) {
            const auto stated = this->statements.find(std::pair{request.gateway_instance, server});
            if (stated == this->statements.end() || !runs.contains(request.id) ||
                request.sent_at <= stated->second + max_drain_delay + caller_tolerance) {
                continue;
            }
            const bool was_paused = std::ranges::any_of(this->record.pauses, [&](const auto& pause) {
                return pause.gateway_instance == request.gateway_instance &&
                       pause.started_at >= stated->second && pause.started_at <= request.finished_at;
            });
            if (!was_paused) {
                this->report("leaving servers get no work", request, "ran on " + server);
            }
        }
    }

    // As long as a gateway process runs, a route that it has served never becomes unknown again, nor does any
    // route that was added before that one.
    void check_configuration()
    {
        for (const auto& request : this->record.requests) {
            const bool is_unknown = request->kind == request_kind::added_route && request->response &&
                                    request->response->status == status_not_found;
            if (!is_unknown) {
                continue;
            }
            const auto proof = std::ranges::find_if(this->record.requests, [&](const auto& earlier) {
                return proves_route_known(*earlier, *request);
            });
            if (proof != this->record.requests.end()) {
                this->report("configuration never reverts",
                             *request,
                             "route " + std::to_string(request->added_route_number) + " was known before, " +
                                 (*proof)->id + " got status " + std::to_string((*proof)->response->status));
            }
        }
    }

    // Returns whether an earlier response proves that the gateway knew a request's route. A 503 does not: a
    // gateway also sends it before it has any configuration.
    static bool proves_route_known(const sent_request& earlier, const sent_request& request)
    {
        return earlier.kind == request_kind::added_route &&
               earlier.gateway_instance == request.gateway_instance &&
               earlier.added_route_number >= request.added_route_number &&
               earlier.finished_at < request.sent_at && earlier.response &&
               earlier.response->status == status_ok;
    }

    // By gateway process and server.
    std::map<std::pair<std::string, std::string>, time_point> statements;
    const soak_record& record;
    std::vector<std::string> violations;
};

} // namespace

std::vector<std::string> find_guarantee_violations(const soak_record& record)
{
    return guarantee_checker{record}.check_all();
}

} // namespace tanager::soak
