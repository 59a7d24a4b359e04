#pragma once

#include "gateway/internal/request_forwarder.h"
#include "routes/route_directory.h"

#include <functional>
#include <memory>
#include <optional>

namespace tanager {

// The first filters of a request's way: decode, check that this process can serve, and find the route. What
// is let through runs on its own; the rest is answered at once.
class request_gate {
public:
    // `is_informed` tells whether a configuration and the list of servers are known.
    request_gate(const forward_context& context,
                 const route_directory& routes,
                 std::size_t open_requests,
                 std::function<bool()> is_informed);

    void accept(const std::shared_ptr<http_exchange>& exchange);

    // From now on, a request is let through only if it will have been answered by `end`.
    void close_at(time_point end);

    void set_open_requests(std::size_t most);

    // Returns the requests that were let through and have not ended.
    std::size_t open() const;

private:
    // Why a request is answered at once.
    struct refusal {
        error cause;
        std::chrono::milliseconds retry_after{0};
    };

    std::optional<refusal> check(const caller_request& request, const route* route) const;
    void refuse(http_exchange& exchange, const caller_request& request, const refusal& why);
    void run(const std::shared_ptr<http_exchange>& exchange,
             const caller_request& request,
             const std::shared_ptr<const route>& chosen);

    forward_context context;
    const route_directory& routes;
    std::size_t open_requests;
    std::function<bool()> is_informed;
    std::optional<time_point> closing_at;
    std::size_t open_runs = 0;
};

} // namespace tanager
