#include "net/http_server.h"

#include "net/internal/accept_limiter.h"
#include "net/internal/bind_retry.h"
#include "net/internal/callback_guard.h"
#include "net/internal/connection_watcher.h"
#include "net/internal/evhttp_exchange.h"

#include <arpa/inet.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/listener.h>

namespace tanager {

namespace {

// evhttp rejects other methods and closes their connections, except after CONNECT.
constexpr unsigned accepted_methods = EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE |
                                      EVHTTP_REQ_HEAD | EVHTTP_REQ_PATCH | EVHTTP_REQ_CONNECT;

class evhttp_server final : public http_server {
public:
    evhttp_server(event_loop& loop, const http_server_limits& limits, handler serve)
        : loop(loop),
          native(evhttp_new(loop.native_handle())),
          serve(std::move(serve)),
          watcher(loop, limits.max_connection_memory)
    {
        evhttp_set_max_headers_size(this->native, static_cast<ev_ssize_t>(limits.max_header_bytes));
        evhttp_set_max_body_size(this->native, static_cast<ev_ssize_t>(limits.max_body_bytes));
        evhttp_set_timeout(this->native, static_cast<int>(limits.idle_timeout.count()));
        evhttp_set_allowed_methods(this->native, static_cast<ev_uint16_t>(accepted_methods));
        evhttp_set_gencb(this->native, &evhttp_server::on_request, this);
        evhttp_set_bevcb(this->native, &evhttp_server::on_connection, this);
    }

    ~evhttp_server() override
    {
        evhttp_free(this->native);
    }

    evhttp_server(const evhttp_server&) = delete;
    evhttp_server& operator=(const evhttp_server&) = delete;
    evhttp_server(evhttp_server&&) = delete;
    evhttp_server& operator=(evhttp_server&&) = delete;

    result<void> listen(const socket_address& requested, const http_server_limits& limits)
    {
        const bool is_bound = bind_with_retry(to_text(requested), limits.max_bind_wait, [&] {
            this->socket =
                evhttp_bind_socket_with_handle(this->native, requested.host.c_str(), requested.port);
            return this->socket != nullptr;
        });
        if (!is_bound) {
            return fail(result_code::listen_failed, "cannot listen on " + to_text(requested));
        }
        sockaddr_in bound{};
        socklen_t length = sizeof(bound);
        // The sockets API takes a sockaddr pointer.
        getsockname(evhttp_bound_socket_get_fd(this->socket),
                    reinterpret_cast<sockaddr*>(&bound), // NOLINT(*-reinterpret-cast)
                    &length);
        this->bound_address = {requested.host, ntohs(bound.sin_port)};
        auto* const listener = evhttp_bound_socket_get_listener(this->socket);
        this->limiter = std::make_unique<accept_limiter>(this->loop, listener, limits.max_descriptors);
        return {};
    }

    std::string address() const override
    {
        return to_text(this->bound_address);
    }

    void disable_keep_alive() override
    {
        this->keep_alive_disabled = true;
    }

    void stop_accepting() override
    {
        this->keep_alive_disabled = true;
        if (this->socket == nullptr) {
            return;
        }
        this->limiter.reset();
        evhttp_del_accept_socket(this->native, this->socket);
        this->socket = nullptr;
    }

    std::size_t open_exchanges() const override
    {
        return this->open_exchange_count;
    }

private:
    static void on_request(evhttp_request* request, void* self)
    {
        auto* const server = static_cast<evhttp_server*>(self);
        ++server->open_exchange_count;
        const auto exchange = std::make_shared<evhttp_exchange>(
            server->loop,
            request,
            [server] { return server->keep_alive_disabled; },
            [server] { --server->open_exchange_count; });
        auto* const stream = evhttp_connection_get_bufferevent(evhttp_request_get_connection(request));
        exchange->on_destroyed(server->watcher.hold_request(stream, exchange->request().body.size()));
        exchange->attach();
        if (evhttp_request_get_command(request) == EVHTTP_REQ_CONNECT) {
            exchange->abort();
            return;
        }
        if (!run_guarded("request", [&] { server->serve(exchange); })) {
            exchange->abort();
        }
    }

    static bufferevent* on_connection(event_base* base, void* self)
    {
        auto* const server = static_cast<evhttp_server*>(self);
        if (server->limiter != nullptr) {
            server->limiter->pause_if_exhausted();
        }
        auto* const stream = bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE);
        if (stream != nullptr) {
            server->watcher.watch(stream);
        }
        return stream;
    }

    event_loop& loop;
    evhttp* native;
    handler serve;
    connection_watcher watcher;
    evhttp_bound_socket* socket = nullptr;
    socket_address bound_address;
    std::unique_ptr<accept_limiter> limiter;
    std::size_t open_exchange_count = 0;
    bool keep_alive_disabled = false;
};

} // namespace

result<std::unique_ptr<http_server>> http_server::create(event_loop& loop,
                                                         const std::string& address,
                                                         const http_server_limits& limits,
                                                         handler serve)
{
    const auto requested = parse_address(address);
    if (!requested) {
        return tl::make_unexpected(requested.error());
    }
    auto server = std::make_unique<evhttp_server>(loop, limits, std::move(serve));
    const auto listening = server->listen(*requested, limits);
    if (!listening) {
        return tl::make_unexpected(listening.error());
    }
    return server;
}

} // namespace tanager
