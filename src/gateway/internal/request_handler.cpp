#include "gateway/internal/request_handler.h"

#include "base/digest.h"
#include "base/text.h"
#include "logging/event_log.h"

#include <algorithm>

namespace tanager {

namespace {

constexpr std::chrono::milliseconds unready_retry_after{500};
// Another gateway can accept the request immediately.
constexpr std::chrono::milliseconds shutdown_retry_after{1};
// Applies when the caller or the route sets no timeout.
constexpr std::chrono::milliseconds default_timeout{15'000};

std::chrono::milliseconds timeout_of(const route& chosen_route, const caller_request& request)
{
    return std::min(request.caller_timeout.value_or(default_timeout),
                    chosen_route.timeout.count() > 0 ? chosen_route.timeout : default_timeout);
}

} // namespace

request_handler::request_handler(const forwarding_context& context,
                                 const route_directory& routes,
                                 std::size_t max_open_requests,
                                 std::function<std::string()> unknown_state)
    : context(context),
      routes(routes),
      max_open_requests(max_open_requests),
      unknown_state(std::move(unknown_state))
{
}

void request_handler::handle(const std::shared_ptr<http_exchange>& exchange)
{
    const auto request = this->context.codec.decode_request(exchange->request());
    if (!request) {
        this->reject(*exchange, {}, {request.error()});
        return;
    }
    const auto route = this->routes.find(request->host, request->path);
    const auto rejection_reason = this->check(*request, route.get());
    if (rejection_reason) {
        this->reject(*exchange, *request, *rejection_reason);
        return;
    }
    const auto received = this->context.callers.now();
    auto caller = this->context.callers.identify(exchange->request(), *route, received);
    if (!caller) {
        this->reject(*exchange,
                     *request,
                     {caller.error(),
                      caller.error().code == result_code::configuration_outdated
                          ? unready_retry_after
                          : std::chrono::milliseconds{0}});
        return;
    }
    this->forward(exchange, *request, route, received, std::move(*caller));
}

std::optional<request_handler::rejection> request_handler::check(const caller_request& request,
                                                                 const route* route) const
{
    if (auto unknown = this->unknown_state(); !unknown.empty()) {
        return rejection{{result_code::not_ready, std::move(unknown)}, unready_retry_after};
    }
    if (route == nullptr) {
        return rejection{
            {result_code::route_unknown, "no route in version " + std::to_string(this->routes.version())}};
    }
    const auto deadline = this->context.time.now() + timeout_of(*route, request);
    if (this->shutdown_deadline && deadline > *this->shutdown_deadline) {
        return rejection{{result_code::not_ready, "this gateway is about to end"}, shutdown_retry_after};
    }
    if (this->open_request_count >= this->max_open_requests) {
        return rejection{{result_code::not_ready, "too many open requests"}, unready_retry_after};
    }
    if (const auto verdict = this->context.quarantine.find_quarantine(request.traits)) {
        return rejection{verdict->cause(), std::chrono::ceil<std::chrono::milliseconds>(verdict->left)};
    }
    return std::nullopt;
}

void request_handler::reject(http_exchange& exchange,
                             const caller_request& request,
                             const rejection& rejection_reason)
{
    write_event(log_event::request_rejected,
                {{"request", request.id.empty() ? "-" : request.id},
                 {"content", to_hex(request.traits.content)},
                 {"cause", rejection_reason.cause.detail},
                 {"configuration", std::to_string(this->routes.version())},
                 {"retry_after_ms", std::to_string(rejection_reason.retry_after.count())}});
    this->context.metrics.increment_counter(
        "tanager_requests_rejected_total",
        "code=\"" + std::to_string(static_cast<int>(rejection_reason.cause.code)) + "\"");
    exchange.send_response(
        this->context.codec.encode_error_response(request,
                                                  http_status_of(rejection_reason.cause.code),
                                                  rejection_reason.cause,
                                                  rejection_reason.retry_after));
}

void request_handler::forward(const std::shared_ptr<http_exchange>& exchange,
                              const caller_request& request,
                              const std::shared_ptr<const route>& chosen_route,
                              time_point identified,
                              std::optional<caller_identity> caller)
{
    const auto& service = choose_service(*chosen_route, hash64(request.id));
    const auto* const service_entry = this->routes.find_service(service);
    const auto received = this->context.time.now();
    const auto deadline = received + timeout_of(*chosen_route, request);
    const bool is_model = service_entry != nullptr && service_entry->is_model;
    ++this->open_request_count;
    const auto forwarder =
        std::make_shared<request_forwarder>(this->context,
                                            routed_request{exchange,
                                                           request,
                                                           chosen_route,
                                                           service,
                                                           is_model,
                                                           caller ? caller->organisation : std::string{},
                                                           this->routes.version(),
                                                           received,
                                                           deadline,
                                                           identified,
                                                           caller},
                                            [this] { --this->open_request_count; });
    forwarder->start();
}

void request_handler::set_shutdown_deadline(time_point deadline)
{
    this->shutdown_deadline = deadline;
}

void request_handler::set_max_open_requests(std::size_t max_open_requests)
{
    this->max_open_requests = max_open_requests;
}

std::size_t request_handler::open_requests() const
{
    return this->open_request_count;
}

} // namespace tanager
