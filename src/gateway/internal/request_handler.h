#pragma once

#include "gateway/internal/request_forwarder.h"
#include "routes/route_directory.h"

#include <functional>
#include <memory>
#include <optional>

namespace tanager {

// The first filters of a request's way: decode, check that this process can serve, and find the route. What
// is let through runs on its own; the rest is answered at once.
class request_handler {
public:
    // `is_informed` tells whether a configuration and the list of servers are known.
    request_handler(const forwarding_context& context,
                    const route_directory& routes,
                    std::size_t max_open_requests,
                    std::function<bool()> is_ready);

    void handle(const std::shared_ptr<http_exchange>& exchange);

    // From now on, a request is let through only if it will have been answered by `end`.
    void set_shutdown_deadline(time_point deadline);

    void set_max_open_requests(std::size_t max_open_requests);

    // Returns the requests that were let through and have not ended.
    std::size_t open_requests() const;

private:
    // Why a request is answered at once.
    struct rejection {
        error cause;
        std::chrono::milliseconds retry_after{0};
    };

    std::optional<rejection> check(const caller_request& request, const route* route) const;
    void reject(http_exchange& exchange, const caller_request& request, const rejection& rejection_reason);
    void forward(const std::shared_ptr<http_exchange>& exchange,
                 const caller_request& request,
                 const std::shared_ptr<const route>& chosen_route);

    forwarding_context context;
    const route_directory& routes;
    std::size_t max_open_requests;
    std::function<bool()> is_ready;
    std::optional<time_point> shutdown_deadline;
    std::size_t open_request_count = 0;
};

} // namespace tanager
