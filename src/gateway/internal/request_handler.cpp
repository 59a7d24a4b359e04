#include "gateway/internal/request_handler.h"

#include "base/digest.h"
#include "logging/event_log.h"

#include <algorithm>

namespace tanager {

namespace {

constexpr std::chrono::milliseconds unready_retry_after{500};
// Another gateway can take the request at once.
constexpr std::chrono::milliseconds return_elsewhere{1};
// What a request may take when neither its caller nor its route sets a bound.
constexpr std::chrono::milliseconds default_patience{15'000};

std::chrono::milliseconds patience_of(const route& wanted, const caller_request& request)
{
    return std::min(request.patience.value_or(default_patience),
                    wanted.timeout.count() > 0 ? wanted.timeout : default_patience);
}

} // namespace

request_gate::request_gate(const forward_context& context,
                           const route_directory& routes,
                           std::size_t open_requests,
                           std::function<bool()> is_informed)
    : context(context), routes(routes), open_requests(open_requests), is_informed(std::move(is_informed))
{
}

void request_gate::accept(const std::shared_ptr<http_exchange>& exchange)
{
    const auto request = this->context.codec.decode(exchange->request());
    if (!request) {
        this->refuse(*exchange, {}, {request.error()});
        return;
    }
    const auto route = this->routes.find(request->host, request->path);
    const auto why = this->check(*request, route.get());
    if (why) {
        this->refuse(*exchange, *request, *why);
        return;
    }
    this->run(exchange, *request, route);
}

std::optional<request_gate::refusal> request_gate::check(const caller_request& request,
                                                         const route* route) const
{
    if (!this->is_informed()) {
        return refusal{{result_code::not_ready, "no configuration is known yet"}, unready_retry_after};
    }
    if (route == nullptr) {
        return refusal{
            {result_code::route_unknown, "no route in version " + std::to_string(this->routes.version())}};
    }
    const auto end = this->context.time.now() + patience_of(*route, request);
    if (this->closing_at && end > *this->closing_at) {
        return refusal{{result_code::not_ready, "this gateway is about to end"}, return_elsewhere};
    }
    if (this->open_runs >= this->open_requests) {
        return refusal{{result_code::not_ready, "too many open requests"}, unready_retry_after};
    }
    return std::nullopt;
}

void request_gate::refuse(http_exchange& exchange, const caller_request& request, const refusal& why)
{
    write_event(log_event::request_rejected,
                {{"request", request.id.empty() ? "-" : request.id},
                 {"cause", why.cause.detail},
                 {"configuration", std::to_string(this->routes.version())},
                 {"retry_after_ms", std::to_string(why.retry_after.count())}});
    this->context.metrics.count("tanager_requests_rejected_total",
                                "code=\"" + std::to_string(static_cast<int>(why.cause.code)) + "\"");
    exchange.reply(this->context.codec.encode_failure(
        request, http_status_of(why.cause.code), why.cause, why.retry_after));
}

void request_gate::run(const std::shared_ptr<http_exchange>& exchange,
                       const caller_request& request,
                       const std::shared_ptr<const route>& chosen)
{
    const auto& service = choose_service(*chosen, hash64(request.id));
    const auto* const entry = this->routes.find_service(service);
    const auto received = this->context.time.now();
    const auto deadline = received + patience_of(*chosen, request);
    const bool is_model = entry != nullptr && entry->is_model;
    ++this->open_runs;
    const auto started = std::make_shared<forward_run>(
        this->context,
        routed_request{
            exchange, request, chosen, service, is_model, this->routes.version(), received, deadline},
        [this] { --this->open_runs; });
    started->start();
}

void request_gate::close_at(time_point end)
{
    this->closing_at = end;
}

void request_gate::set_open_requests(std::size_t most)
{
    this->open_requests = most;
}

std::size_t request_gate::open() const
{
    return this->open_runs;
}

} // namespace tanager
