#include "soak/guarantee_check.h"

#include <algorithm>

namespace tanager::soak {

namespace {

using namespace std::chrono_literals;

// From the pages: a leaving backend server gets no new work after a few seconds; a gateway that was cut from
// the store is held to its bounds again this long after.
constexpr auto drain_bound = 2s;
constexpr auto contact_bound = 3s;
// What a caller's own bytes may need on a busy machine.
constexpr auto caller_slack = 500ms;
constexpr int status_ok = 200;
constexpr int status_not_found = 404;
constexpr int status_too_many = 429;
constexpr int status_unavailable = 503;

std::string stream_body(const sent_request& request)
{
    std::string body;
    for (unsigned number = 1; number <= request.events; ++number) {
        body += "id: " + std::to_string(number) + "\ndata: " + request.body + "\n\n";
    }
    return body;
}

std::string expected_body(const sent_request& request)
{
    return request.kind == request_kind::stream ? stream_body(request) : "answer to " + request.body;
}

bool is_own_answer(const sent_request& request)
{
    const auto& reply = *request.reply;
    return reply.body == expected_body(request) && find_header(reply.headers, "Attempt-Id") == request.id &&
           find_header(reply.headers, "Response-Seal") == "seal-of-" + request.id;
}

class judge {
public:
    explicit judge(const soak_record& record) : record(record) {}

    std::vector<std::string> all()
    {
        for (const auto& end : this->record.unexpected_ends) {
            this->broken.push_back("runs on: gateway " + end);
        }
        for (const auto& request : this->record.requests) {
            this->check_settled(*request);
            this->check_runs(*request);
            this->check_answer(*request);
            this->check_stop(*request);
            this->check_leaving(*request);
        }
        this->check_configuration();
        return std::move(this->broken);
    }

private:
    void report(const std::string& promise, const sent_request& request, const std::string& detail)
    {
        this->broken.push_back(promise + ": request " + request.id + " at " + request.gateway + ": " +
                               detail);
    }

    unsigned runs_of(const sent_request& request) const
    {
        unsigned total = 0;
        for (const auto& [server, runs] : this->record.runs) {
            const auto found = runs.find(request.id);
            total += found == runs.end() ? 0 : found->second;
        }
        return total;
    }

    bool was_calm(time_point from, time_point until) const
    {
        return std::ranges::none_of(this->record.disturbances,
                                    [&](const auto& row) { return row.began <= until && row.ended >= from; });
    }

    void check_settled(const sent_request& request)
    {
        const bool is_unanswered = !request.is_settled() ||
                                   (request.failure && request.failure->cause.code == result_code::timed_out);
        if (is_unanswered) {
            this->report("answered", request, "no answer long after its deadline");
        }
    }

    void check_runs(const sent_request& request)
    {
        const auto runs = this->runs_of(request);
        if (request.kind == request_kind::order && runs > 1) {
            this->report("at most once", request, "ran " + std::to_string(runs) + " times");
        }
        const bool said_not_run = request.reply && (request.reply->status == status_unavailable ||
                                                    request.reply->status == status_too_many);
        if (request.kind == request_kind::order && said_not_run && runs > 0) {
            this->report("not run is true", request, "answered as not run, but ran");
        }
    }

    void check_answer(const sent_request& request)
    {
        if (request.reply && request.reply->status == status_ok && !is_own_answer(request)) {
            this->report("own whole answer", request, "got: " + request.reply->body.substr(0, 80));
        }
        const bool is_standing = request.kind != request_kind::extra;
        if (is_standing && request.reply && request.reply->status == status_not_found) {
            this->report("configuration", request, "a standing route was unknown");
        }
    }

    // A planned stop cuts no request that was passed on or had been sent before it.
    void check_stop(const sent_request& request)
    {
        const auto stop = std::ranges::find(this->record.stops, request.gateway, &planned_stop::gateway);
        const bool was_cut = request.failure && request.failure->progress == call_progress::maybe_sent;
        if (stop == this->record.stops.end() || !was_cut || request.settled < stop->asked) {
            return;
        }
        const bool counts = request.sent < stop->asked || this->runs_of(request) > 0;
        if (counts && this->was_calm(std::min(request.sent, stop->asked) - contact_bound, request.settled)) {
            this->report("graceful stop", request, "cut: " + request.failure->cause.detail);
        }
    }

    void check_leaving(const sent_request& request)
    {
        for (const auto& server : this->record.leavers) {
            const auto runs = this->record.runs.find(server.id);
            const bool ran_there = runs != this->record.runs.end() && runs->second.contains(request.id);
            const bool is_late = request.sent > server.told + drain_bound + caller_slack;
            if (ran_there && is_late && this->was_calm(server.told - contact_bound, request.settled)) {
                this->report("leaving servers get no work", request, "ran on " + server.id);
            }
        }
    }

    // Within one life of a gateway, a route that was served is not unknown later, nor is an older one.
    void check_configuration()
    {
        for (const auto& request : this->record.requests) {
            const bool is_unknown = request->kind == request_kind::extra && request->reply &&
                                    request->reply->status == status_not_found;
            if (!is_unknown) {
                continue;
            }
            const auto witness = std::ranges::find_if(
                this->record.requests, [&](const auto& earlier) { return shows_route(*earlier, *request); });
            if (witness != this->record.requests.end()) {
                this->report("configuration never reverts",
                             *request,
                             "route " + std::to_string(request->extra_route) + " was known before, " +
                                 (*witness)->id + " got status " + std::to_string((*witness)->reply->status));
            }
        }
    }

    // Returns whether an earlier answer shows that the gateway knew a request's route. A 503 does not: a
    // gateway answers so before it knows any configuration.
    static bool shows_route(const sent_request& earlier, const sent_request& request)
    {
        return earlier.kind == request_kind::extra && earlier.gateway == request.gateway &&
               earlier.extra_route >= request.extra_route && earlier.settled < request.sent &&
               earlier.reply && earlier.reply->status == status_ok;
    }

    const soak_record& record;
    std::vector<std::string> broken;
};

} // namespace

std::vector<std::string> find_broken_promises(const soak_record& record)
{
    return judge{record}.all();
}

} // namespace tanager::soak
