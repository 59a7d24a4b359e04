#pragma once

#include "base/system_clock.h"
#include "net/event_loop.h"
#include "net/types/http_types.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

struct evhttp_connection;

namespace tanager {

// A connection to a peer, and what it has carried.
struct client_connection {
    evhttp_connection* native = nullptr;
    std::uint64_t number = 0; // unique in this process
    std::uint32_t requests = 0;
    std::vector<std::uint64_t> request_ids; // hashes of those that requests have carried
};

// Keeps idle connections for later calls to the same peer.
class http_connection_pool {
public:
    explicit http_connection_pool(event_loop& loop);
    ~http_connection_pool();
    http_connection_pool(const http_connection_pool&) = delete;
    http_connection_pool& operator=(const http_connection_pool&) = delete;
    http_connection_pool(http_connection_pool&&) = delete;
    http_connection_pool& operator=(http_connection_pool&&) = delete;

    // Returns the idle connection that was used last among those that were idle for less than `max_idle_time`
    // and have not carried `request_id`, unless that is empty. Otherwise returns a new one, which connects on
    // its first request. Connections that the peer has closed, or on which it has sent bytes without a
    // request, are discarded. A new connection replaces one that was passed over for its ids, so that
    // requests with one id do not fill the peer with connections.
    client_connection take(const socket_address& peer, duration max_idle_time, const std::string& request_id);

    // Keeps a connection for reuse; its last response must have been read completely.
    void give_back(const socket_address& peer, client_connection connection);

    // Frees a connection later from the loop, after its current callbacks have returned.
    void discard(evhttp_connection* connection);

private:
    struct idle_connection {
        client_connection connection;
        time_point idle_since;
    };

    std::optional<client_connection>
    take_idle(const socket_address& peer, duration max_idle_time, std::uint64_t request_id);

    event_loop& loop;
    system_clock clock;
    std::uint64_t last_number = 0;
    std::map<socket_address, std::vector<idle_connection>> idle_connections;
};

} // namespace tanager
