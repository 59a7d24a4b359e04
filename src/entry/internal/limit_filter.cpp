#include "entry/internal/limit_filter.h"

#include "entry/internal/error_response.h"

namespace tanager {

limit_filter::limit_filter(std::size_t max_open_requests,
                           std::function<std::size_t()> count_open_requests,
                           metrics_registry& metrics,
                           sink<identified_request>& next)
    : max_open_requests(max_open_requests),
      count_open_requests(std::move(count_open_requests)),
      metrics(metrics),
      next(next)
{
}

result<void> limit_filter::check(const identified_request& request) const
{
    const std::uint32_t cap = request.member->cap_in(request.pool->name);
    if (cap == 0) {
        return fail(result_code::member_over_cap,
                    request.member->name + " has no cap in the pool " + request.pool->name);
    }
    if (request.pieces > cap) {
        return fail(result_code::request_too_large_for_pool,
                    std::to_string(request.pieces) + " pieces pass the cap of " + std::to_string(cap));
    }
    if (this->count_open_requests() > this->max_open_requests) {
        return fail(result_code::agent_queue_full, "this entry has too many open requests");
    }
    return {};
}

void limit_filter::accept(identified_request request)
{
    const auto allowed = this->check(request);
    if (!allowed) {
        send_error_response(request.received, allowed.error(), request_outcome::not_run, this->metrics);
        return;
    }
    this->next.accept(std::move(request));
}

} // namespace tanager
