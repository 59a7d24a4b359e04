#pragma once

#include "net/event_loop.h"
#include "net/types/http_types.h"

#include <algorithm>
#include <arpa/inet.h>
#include <chrono>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <sys/socket.h>
#include <utility>

namespace tanager {

// The rate at which a paced_server sends its response.
struct pace {
    std::size_t bytes = 0; // in each interval
    std::chrono::milliseconds interval{20};
    std::optional<std::size_t> stop_after; // sends nothing more after so many bytes
};

// Sends the same response to each request at a limited rate, like a server behind a slow link.
class paced_server {
public:
    paced_server(event_loop& loop, std::string response, const pace& rate)
        : loop(loop), response(std::move(response)), rate(rate)
    {
        sockaddr_in any{};
        any.sin_family = AF_INET;
        any.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        this->listener = evconnlistener_new_bind(loop.native_handle(),
                                                 &paced_server::on_accepted,
                                                 this,
                                                 LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
                                                 -1,
                                                 reinterpret_cast<const sockaddr*>(&any), // NOLINT(*-cast)
                                                 sizeof any);
        socklen_t size = sizeof any;
        getsockname(evconnlistener_get_fd(this->listener),
                    reinterpret_cast<sockaddr*>(&any), // NOLINT(*-cast)
                    &size);
        this->address = {"127.0.0.1", ntohs(any.sin_port)};
    }

    ~paced_server()
    {
        for (const auto& [connection, state] : this->connections) {
            bufferevent_free(connection);
        }
        evconnlistener_free(this->listener);
    }

    paced_server(const paced_server&) = delete;
    paced_server& operator=(const paced_server&) = delete;
    paced_server(paced_server&&) = delete;
    paced_server& operator=(paced_server&&) = delete;

    bool has_no_connections() const
    {
        return this->connections.empty();
    }

    socket_address address;
    std::size_t sent = 0; // over all connections

private:
    struct response_state {
        std::size_t sent = 0;
        std::unique_ptr<loop_timer> timer;
    };

    static void on_accepted(evconnlistener* listener, evutil_socket_t peer, sockaddr*, int, void* self)
    {
        auto& server = *static_cast<paced_server*>(self);
        auto* const connection =
            bufferevent_socket_new(evconnlistener_get_base(listener), peer, BEV_OPT_CLOSE_ON_FREE);
        server.connections[connection];
        bufferevent_setcb(connection, &paced_server::on_request, nullptr, &paced_server::on_closed, self);
        bufferevent_enable(connection, EV_READ | EV_WRITE);
    }

    static void on_request(bufferevent* connection, void* self)
    {
        auto& server = *static_cast<paced_server*>(self);
        evbuffer_drain(bufferevent_get_input(connection),
                       evbuffer_get_length(bufferevent_get_input(connection)));
        auto& state = server.connections[connection];
        state.sent = 0;
        state.timer = server.loop.run_every(server.rate.interval,
                                            [&server, connection] { server.send_part(connection); });
    }

    void send_part(bufferevent* connection)
    {
        auto& state = this->connections[connection];
        const auto end = std::min(this->response.size(), this->rate.stop_after.value_or(std::string::npos));
        const auto count = std::min(this->rate.bytes, end - std::min(end, state.sent));
        const auto part = std::string_view{this->response}.substr(state.sent, count);
        bufferevent_write(connection, part.data(), part.size());
        state.sent += count;
        this->sent += count;
    }

    static void on_closed(bufferevent* connection, short what, void* self) // NOLINT(*-runtime-int)
    {
        if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
            static_cast<paced_server*>(self)->connections.erase(connection);
            bufferevent_free(connection);
        }
    }

    event_loop& loop;
    std::string response;
    pace rate;
    evconnlistener* listener = nullptr;
    std::map<bufferevent*, response_state> connections;
};

} // namespace tanager
