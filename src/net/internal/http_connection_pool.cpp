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
        for (const auto& idle : connections) {
            evhttp_connection_free(idle.connection.native);
        }
    }
}

client_connection http_connection_pool::take(const socket_address& peer, duration max_idle_time)
{
    auto& connections = this->idle_connections[peer];
    const auto idle_limit = this->clock.now() - max_idle_time;
    if (!connections.empty() && connections.back().idle_since > idle_limit) {
        auto connection = connections.back().connection;
        ++connection.requests;
        connections.pop_back();
        return connection;
    }
    auto* const native =
        evhttp_connection_base_new(this->loop.native_handle(), nullptr, peer.host.c_str(), peer.port);
    evhttp_connection_set_retries(native, 0);
    return {native, ++this->last_number, 1};
}

void http_connection_pool::give_back(const socket_address& peer, const client_connection& connection)
{
    auto& connections = this->idle_connections[peer];
    if (connections.size() >= max_idle_connections_per_peer) {
        this->discard(connection.native);
        return;
    }
    connections.push_back({connection, this->clock.now()});
}

void http_connection_pool::discard(evhttp_connection* connection)
{
    this->loop.post([connection] { evhttp_connection_free(connection); });
}

} // namespace tanager
