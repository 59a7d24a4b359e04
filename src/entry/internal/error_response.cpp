#include "entry/internal/error_response.h"

#include "logging/event_log.h"

#include <nlohmann/json.hpp>

namespace tanager {

namespace {

constexpr int status_too_many_requests = 429;
constexpr int status_service_unavailable = 503;
constexpr const char* retry_after_seconds = "1";

} // namespace

std::string_view name_of(request_outcome outcome)
{
    switch (outcome) {
    case request_outcome::complete:
        return "complete";
    case request_outcome::not_run:
        return "not-run";
    case request_outcome::unknown:
        return "unknown";
    }
    return "unknown";
}

void send_error_response(const received_request& request,
                         const error& cause,
                         request_outcome outcome,
                         metrics_registry& metrics)
{
    const int number = static_cast<int>(cause.code);
    const int status = http_status_of(cause.code);
    const nlohmann::json body{{"error",
                               {{"code", number},
                                {"name", name_of(cause.code)},
                                {"message", cause.detail},
                                {"request_id", request.request_id},
                                {"outcome", name_of(outcome)}}}};
    http_headers headers{{"Content-Type", "application/json"},
                         {"X-Request-Id", request.request_id},
                         {"Tanager-Outcome", std::string{name_of(outcome)}},
                         {"Tanager-Code", std::to_string(number)}};
    if (outcome == request_outcome::not_run &&
        (status == status_too_many_requests || status == status_service_unavailable)) {
        headers.push_back({"Retry-After", retry_after_seconds});
    }
    metrics.increment_counter("tanager_refusals_total",
                              "code=\"" + std::to_string(number) + "\",outcome=\"" +
                                  std::string{name_of(outcome)} + "\"");
    const auto event =
        outcome == request_outcome::not_run ? log_event::request_refused : log_event::request_failed;
    write_event(event,
                {{"request", request.request_id},
                 {"code", std::to_string(number)},
                 {"outcome", std::string{name_of(outcome)}},
                 {"detail", cause.detail}});
    // The detail may quote bytes from the caller that are not valid UTF-8.
    const auto text = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    request.exchange->send_response({status, headers, text + "\n"});
}

} // namespace tanager
