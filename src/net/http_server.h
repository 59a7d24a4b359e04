// Accepts HTTP requests on one address.
#pragma once

#include "base/types/result.h"
#include "net/event_loop.h"
#include "net/http_exchange.h"
#include "net/types/http_types.h"

#include <chrono>
#include <memory>

namespace tanager {

// Limits of an HTTP server.
struct http_server_limits {
    std::size_t max_header_bytes = std::size_t{16} * 1024;
    std::size_t max_body_bytes = std::size_t{4} * 1024 * 1024;
    // Open descriptors of the whole process; above this, no connections are accepted.
    int max_descriptors = 4096;
    std::chrono::seconds idle_timeout{60};
    // What all connections together may hold in memory: requests that are not complete, requests that are
    // being served, and responses that have not been read. Above this, connections of the first and last kind
    // are closed, those with the most bytes first.
    std::size_t max_connection_memory = std::size_t{64} * 1024 * 1024;
    // How long to wait, at the start, for another process to release the address.
    std::chrono::milliseconds max_bind_wait{0};

    friend bool operator==(const http_server_limits&, const http_server_limits&) = default;
};

class http_server {
public:
    using handler = std::function<void(std::shared_ptr<http_exchange>)>;

    // Starts listening; port 0 selects a free port. Fails with listen_failed or address_invalid.
    static result<std::unique_ptr<http_server>>
    create(event_loop& loop, const std::string& address, const http_server_limits& limits, handler serve);

    http_server() = default;
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;
    http_server(http_server&&) = delete;
    http_server& operator=(http_server&&) = delete;
    virtual ~http_server() = default;

    // Returns the bound address with the actual port.
    virtual std::string address() const = 0;

    // Closes each keep-alive connection after its next response; new connections are still accepted.
    virtual void disable_keep_alive() = 0;

    // Stops listening, and closes each keep-alive connection after its next response.
    virtual void stop_accepting() = 0;

    // Returns the number of requests whose responses are not yet fully sent.
    virtual std::size_t open_exchanges() const = 0;
};

} // namespace tanager
