#pragma once

#include "net/event_loop.h"
#include "net/types/http_types.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <map>
#include <string>
#include <sys/socket.h>

namespace tanager {

// What a scripted_server does once it has sent its bytes.
enum class connection_end { stays_open, closes, resets };

// Sends the same bytes in response to the first bytes of each request. It does not read requests to their
// end.
class scripted_server {
public:
    scripted_server(event_loop& loop, std::string response, connection_end end)
        : response(std::move(response)), end(end)
    {
        sockaddr_in any{};
        any.sin_family = AF_INET;
        any.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        this->listener = evconnlistener_new_bind(loop.native_handle(),
                                                 &scripted_server::on_accepted,
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

    ~scripted_server()
    {
        for (const auto& [connection, answered] : this->connections) {
            bufferevent_free(connection);
        }
        evconnlistener_free(this->listener);
    }

    scripted_server(const scripted_server&) = delete;
    scripted_server& operator=(const scripted_server&) = delete;
    scripted_server(scripted_server&&) = delete;
    scripted_server& operator=(scripted_server&&) = delete;

    void set_response(std::string next_response)
    {
        this->response = std::move(next_response);
    }

    socket_address address;
    int accepted_connections = 0;

private:
    static void on_accepted(evconnlistener* listener, evutil_socket_t peer, sockaddr*, int, void* self)
    {
        auto& server = *static_cast<scripted_server*>(self);
        auto* const connection =
            bufferevent_socket_new(evconnlistener_get_base(listener), peer, BEV_OPT_CLOSE_ON_FREE);
        ++server.accepted_connections;
        server.connections[connection] = false;
        bufferevent_setcb(connection,
                          &scripted_server::on_request,
                          &scripted_server::on_sent,
                          &scripted_server::on_closed,
                          self);
        bufferevent_enable(connection, EV_READ | EV_WRITE);
    }

    static void on_request(bufferevent* connection, void* self)
    {
        auto& server = *static_cast<scripted_server*>(self);
        server.connections[connection] = true;
        if (server.end == connection_end::stays_open) {
            evbuffer_drain(bufferevent_get_input(connection),
                           evbuffer_get_length(bufferevent_get_input(connection)));
        } else {
            bufferevent_disable(connection, EV_READ);
        }
        bufferevent_write(connection, server.response.data(), server.response.size());
    }

    static void on_sent(bufferevent* connection, void* self)
    {
        auto& server = *static_cast<scripted_server*>(self);
        if (server.end == connection_end::stays_open || !server.connections[connection]) {
            return;
        }
        if (server.end == connection_end::resets) {
            const linger without_delay{1, 0};
            setsockopt(
                bufferevent_getfd(connection), SOL_SOCKET, SO_LINGER, &without_delay, sizeof without_delay);
        }
        server.connections.erase(connection);
        bufferevent_free(connection);
    }

    static void on_closed(bufferevent* connection, short what, void* self) // NOLINT(*-runtime-int)
    {
        if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
            static_cast<scripted_server*>(self)->connections.erase(connection);
            bufferevent_free(connection);
        }
    }

    std::string response;
    connection_end end;
    evconnlistener* listener = nullptr;
    std::map<bufferevent*, bool> connections; // whether it has received a request
};

} // namespace tanager
