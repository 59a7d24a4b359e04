#include "net/internal/http_connection_pool.h"

#include <event2/http.h>

namespace tanager {

namespace {

constexpr std::size_t max_idle_connections_per_peer = 256;

} // namespace

http_connection_pool::http_connection_pool(event_loop& loop) : loop(loop) {}

http_connection_pool::~http_connection_pool()
{
    for (const auto& [peer, connections] : this->idle_connections) {
        for (const auto& connection : connections) {
            evhttp_connection_free(connection.native);
        }
    }
}

evhttp_connection* http_connection_pool::take(const socket_address& peer, duration max_idle_time)
{
    auto& connections = this->idle_connections[peer];
    const auto idle_limit = this->clock.now() - max_idle_time;
    if (!connections.empty() && connections.back().idle_since > idle_limit) {
        auto* const connection = connections.back().native;
        connections.pop_back();
        return connection;
    }
    auto* const connection =
        evhttp_connection_base_new(this->loop.native_handle(), nullptr, peer.host.c_str(), peer.port);
    evhttp_connection_set_retries(connection, 0);
    return connection;
}

void http_connection_pool::give_back(const socket_address& peer, evhttp_connection* connection)
{
    auto& connections = this->idle_connections[peer];
    if (connections.size() >= max_idle_connections_per_peer) {
        this->discard(connection);
        return;
    }
    connections.push_back({connection, this->clock.now()});
}

void http_connection_pool::discard(evhttp_connection* connection)
{
    this->loop.post([connection] { evhttp_connection_free(connection); });
}

} // namespace tanager
