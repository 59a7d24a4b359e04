#include "net/connect_probe.h"

#include <arpa/inet.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <memory>

namespace tanager {

namespace {

// How long a connection must stay open before its peer counts as listening.
constexpr std::chrono::milliseconds confirmation_delay{50};

// One connection attempt; keeps itself alive until it has called back.
class connection_attempt {
public:
    connection_attempt(event_loop& loop, std::function<void(bool)> callback)
        : loop(loop),
          callback(std::move(callback)),
          stream(bufferevent_socket_new(loop.native_handle(), -1, BEV_OPT_CLOSE_ON_FREE))
    {
    }

    ~connection_attempt()
    {
        bufferevent_free(this->stream);
    }

    connection_attempt(const connection_attempt&) = delete;
    connection_attempt& operator=(const connection_attempt&) = delete;
    connection_attempt(connection_attempt&&) = delete;
    connection_attempt& operator=(connection_attempt&&) = delete;

    static void
    start(const std::shared_ptr<connection_attempt>& attempt, const socket_address& address, duration timeout)
    {
        attempt->self_reference = attempt;
        attempt->timer = attempt->loop.run_after(timeout, [raw = attempt.get()] { raw->finish(true); });
        bufferevent_setcb(attempt->stream, nullptr, nullptr, &connection_attempt::on_event, attempt.get());
        sockaddr_in peer{};
        peer.sin_family = AF_INET;
        peer.sin_port = htons(address.port);
        inet_pton(AF_INET, address.host.c_str(), &peer.sin_addr);
        // The sockets API takes a sockaddr pointer.
        auto* const native = reinterpret_cast<sockaddr*>(&peer); // NOLINT(*-reinterpret-cast)
        if (bufferevent_socket_connect(attempt->stream, native, sizeof(peer)) != 0) {
            attempt->finish(false);
        }
    }

private:
    static void on_event(bufferevent* /*stream*/, short what, void* self) // NOLINT(*-runtime-int)
    {
        auto* const attempt = static_cast<connection_attempt*>(self);
        if ((what & BEV_EVENT_CONNECTED) == 0) {
            attempt->finish(false);
            return;
        }
        bufferevent_enable(attempt->stream, EV_READ);
        attempt->timer = attempt->loop.run_after(confirmation_delay, [attempt] { attempt->finish(true); });
    }

    void finish(bool is_listening)
    {
        const auto keep_alive = std::move(this->self_reference);
        if (keep_alive == nullptr) {
            return;
        }
        // Posted, so that neither the timer nor the stream is freed inside its own callback.
        this->loop.post([keep_alive, is_listening] { keep_alive->callback(is_listening); });
    }

    event_loop& loop;
    std::function<void(bool)> callback;
    bufferevent* stream;
    std::unique_ptr<loop_timer> timer;
    std::shared_ptr<connection_attempt> self_reference;
};

} // namespace

void probe_connection(event_loop& loop,
                      const socket_address& address,
                      duration timeout,
                      std::function<void(bool is_listening)> callback)
{
    connection_attempt::start(
        std::make_shared<connection_attempt>(loop, std::move(callback)), address, timeout);
}

} // namespace tanager
