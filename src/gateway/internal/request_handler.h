#pragma once

#include "gateway/internal/request_forwarder.h"
#include "routes/route_directory.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace tanager {

// Decodes each incoming request, finds its route and checks whether this process can serve it. Accepted
// requests are handed to a request_forwarder; the others are rejected immediately.
class request_handler {
public:
    // `unknown_state` returns what this process must learn before it takes requests; empty if it is ready.
    request_handler(const forwarding_context& context,
                    const route_directory& routes,
                    std::size_t max_open_requests,
                    std::function<std::string()> unknown_state);

    void handle(const std::shared_ptr<http_exchange>& exchange);

    // From now on, rejects requests whose timeout ends after `deadline`.
    void set_shutdown_deadline(time_point deadline);

    void set_max_open_requests(std::size_t max_open_requests);

    // Returns the number of accepted requests that have not finished.
    std::size_t open_requests() const;

private:
    // The reason for a rejection, and the delay after which the caller may retry; none is sent if it is 0.
    struct rejection {
        error cause;
        std::chrono::milliseconds retry_after{0};
    };

    std::optional<rejection> check(const caller_request& request, const route* route) const;
    void reject(http_exchange& exchange, const caller_request& request, const rejection& rejection_reason);
    void forward(const std::shared_ptr<http_exchange>& exchange,
                 const caller_request& request,
                 const std::shared_ptr<const route>& chosen_route,
                 time_point identified,
                 std::optional<caller_identity> caller);

    forwarding_context context;
    const route_directory& routes;
    std::size_t max_open_requests;
    std::function<std::string()> unknown_state;
    std::optional<time_point> shutdown_deadline;
    std::size_t open_request_count = 0;
};

} // namespace tanager
