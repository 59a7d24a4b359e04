#include "net/internal/http_connection_pool.h"

#include "base/digest.h"

#include <algorithm>
#include <cerrno>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <sys/socket.h>

namespace tanager {

namespace {

constexpr std::size_t max_idle_connections_per_peer = 256;
// Bounds the memory of a connection.
constexpr std::size_t max_request_ids_per_connection = 500;

// Returns whether an idle connection is open and nothing waits to be read: no request is under way whose
// response that could be.
bool is_quiet(evhttp_connection* connection)
{
    bufferevent* const buffer = evhttp_connection_get_bufferevent(connection);
    const auto socket = bufferevent_getfd(buffer);
    if (socket < 0 || evbuffer_get_length(bufferevent_get_input(buffer)) > 0) {
        return false;
    }
    char byte = 0;
    const auto received = recv(socket, &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
    return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

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

client_connection
http_connection_pool::take(const socket_address& peer, duration max_idle_time, const std::string& request_id)
{
    const auto id = request_id.empty() ? 0 : hash64(request_id);
    auto connection = this->take_idle(peer, max_idle_time, id);
    if (!connection) {
        auto* const native =
            evhttp_connection_base_new(this->loop.native_handle(), nullptr, peer.host.c_str(), peer.port);
        evhttp_connection_set_retries(native, 0);
        connection = client_connection{native, ++this->last_number, 0, {}};
    }
    ++connection->requests;
    if (id != 0) {
        connection->request_ids.push_back(id);
    }
    return *std::move(connection);
}

std::optional<client_connection>
http_connection_pool::take_idle(const socket_address& peer, duration max_idle_time, std::uint64_t request_id)
{
    auto& connections = this->idle_connections[peer];
    const auto idle_limit = this->clock.now() - max_idle_time;
    const auto remove = [&](std::size_t index) {
        auto removed = std::move(connections[index].connection);
        connections.erase(connections.begin() + static_cast<std::ptrdiff_t>(index));
        return removed;
    };
    std::optional<std::size_t> passed_over;
    for (auto next = connections.size(); next > 0 && connections[next - 1].idle_since > idle_limit; --next) {
        const auto index = next - 1;
        const auto& request_ids = connections[index].connection.request_ids;
        if (request_id != 0 && std::ranges::find(request_ids, request_id) != request_ids.end()) {
            passed_over = index;
            continue;
        }
        auto connection = remove(index);
        if (is_quiet(connection.native)) {
            return connection;
        }
        this->discard(connection.native);
        passed_over = passed_over ? std::optional{*passed_over - 1} : std::nullopt;
    }
    if (passed_over) {
        this->discard(remove(*passed_over).native);
    }
    return std::nullopt;
}

void http_connection_pool::give_back(const socket_address& peer, client_connection connection)
{
    auto& connections = this->idle_connections[peer];
    if (connections.size() >= max_idle_connections_per_peer ||
        connection.request_ids.size() >= max_request_ids_per_connection) {
        this->discard(connection.native);
        return;
    }
    connections.push_back({std::move(connection), this->clock.now()});
}

void http_connection_pool::discard(evhttp_connection* connection)
{
    this->loop.post([connection] { evhttp_connection_free(connection); });
}

} // namespace tanager
