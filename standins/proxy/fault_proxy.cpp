#include "standins/proxy/fault_proxy.h"

#include <algorithm>
#include <arpa/inet.h>
#include <deque>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <unistd.h>

namespace tanager::standin {

namespace {

sockaddr_in to_native(const socket_address& address)
{
    sockaddr_in native{};
    native.sin_family = AF_INET;
    native.sin_port = htons(address.port);
    inet_pton(AF_INET, address.host.c_str(), &native.sin_addr);
    return native;
}

} // namespace

// Forwards one direction of a connection.
class proxied_direction {
public:
    // `link_free_at` is shared by all connections whose bytes the link carries in this direction; null if it
    // has no limit.
    proxied_direction(fault_registry& faults,
                      event_loop& loop,
                      std::string stall_fault,
                      std::chrono::steady_clock::time_point* link_free_at)
        : faults(faults), loop(loop), stall_fault(std::move(stall_fault)), link_free_at(link_free_at)
    {
    }

    void connect(bufferevent* source, bufferevent* sink)
    {
        this->source = source;
        this->sink = sink;
    }

    // Forwards the received bytes, or holds or delays them as the active faults require.
    void forward()
    {
        if (this->faults.value(this->stall_fault) > 0) {
            bufferevent_disable(this->source, EV_READ);
            return;
        }
        bufferevent_enable(this->source, EV_READ);
        evbuffer* const input = bufferevent_get_input(this->source);
        if (evbuffer_get_length(input) == 0) {
            return;
        }
        const std::chrono::milliseconds delay{this->faults.value("delay_ms")};
        if (delay.count() == 0 && this->link_rate() == 0 && this->held.empty()) {
            bufferevent_write_buffer(this->sink, input);
            return;
        }
        std::string bytes(evbuffer_get_length(input), '\0');
        evbuffer_remove(input, bytes.data(), bytes.size());
        this->held.push_back({std::move(bytes), std::chrono::steady_clock::now() + delay});
        this->schedule();
    }

private:
    struct held_bytes {
        std::string bytes;
        std::chrono::steady_clock::time_point due_at;
        bool is_on_link = false;
    };

    std::uint64_t link_rate() const
    {
        return this->link_free_at == nullptr ? 0 : this->faults.value("bytes_per_second");
    }

    // Returns whether the first bytes that are held have to wait until the link has carried them.
    bool wait_for_link()
    {
        auto& first = this->held.front();
        const auto rate = this->link_rate();
        if (rate == 0 || first.is_on_link) {
            return false;
        }
        constexpr std::uint64_t microseconds_per_second = 1'000'000;
        const std::chrono::microseconds carry_time{first.bytes.size() * microseconds_per_second / rate};
        *this->link_free_at = std::max(*this->link_free_at, std::chrono::steady_clock::now()) + carry_time;
        first.due_at = *this->link_free_at;
        first.is_on_link = true;
        return true;
    }

    void schedule()
    {
        if (this->timer != nullptr || this->held.empty()) {
            return;
        }
        const auto remaining_delay =
            std::max(this->held.front().due_at - std::chrono::steady_clock::now(), duration{});
        this->timer = this->loop.run_after(remaining_delay, [this] { this->release(); });
    }

    void release()
    {
        const auto now = std::chrono::steady_clock::now();
        while (!this->held.empty() && this->held.front().due_at <= now && !this->wait_for_link()) {
            bufferevent_write(this->sink, this->held.front().bytes.data(), this->held.front().bytes.size());
            this->held.pop_front();
        }
        const auto expired = std::move(this->timer);
        this->schedule();
    }

    fault_registry& faults;
    event_loop& loop;
    std::string stall_fault;
    std::chrono::steady_clock::time_point* link_free_at;
    bufferevent* source = nullptr;
    bufferevent* sink = nullptr;
    std::deque<held_bytes> held;
    std::unique_ptr<loop_timer> timer;
};

class proxied_connection {
public:
    proxied_connection(fault_proxy& owner,
                       fault_registry& faults,
                       event_loop& loop,
                       std::chrono::steady_clock::time_point& link_free_at,
                       int descriptor)
        : owner(owner),
          caller(bufferevent_socket_new(loop.native_handle(), descriptor, BEV_OPT_CLOSE_ON_FREE)),
          server(bufferevent_socket_new(loop.native_handle(), -1, BEV_OPT_CLOSE_ON_FREE)),
          up(faults, loop, "stall_up", nullptr),
          down(faults, loop, "stall_down", &link_free_at)
    {
        this->up.connect(this->caller, this->server);
        this->down.connect(this->server, this->caller);
        bufferevent_setcb(
            this->caller, &proxied_connection::on_read, nullptr, &proxied_connection::on_event, this);
        bufferevent_setcb(
            this->server, &proxied_connection::on_read, nullptr, &proxied_connection::on_event, this);
    }

    ~proxied_connection()
    {
        bufferevent_free(this->caller);
        bufferevent_free(this->server);
    }

    proxied_connection(const proxied_connection&) = delete;
    proxied_connection& operator=(const proxied_connection&) = delete;
    proxied_connection(proxied_connection&&) = delete;
    proxied_connection& operator=(proxied_connection&&) = delete;

    void connect(const socket_address& target)
    {
        auto native = to_native(target);
        // The sockets API takes every kind of address as sockaddr*.
        bufferevent_socket_connect(
            this->server, reinterpret_cast<sockaddr*>(&native), sizeof(native)); // NOLINT
        this->forward();
    }

    void forward()
    {
        this->up.forward();
        this->down.forward();
    }

private:
    static void on_read(bufferevent* /*source*/, void* self)
    {
        static_cast<proxied_connection*>(self)->forward();
    }

    static void on_event(bufferevent* source, short what, void* self) // NOLINT(*-runtime-int)
    {
        if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0) {
            return;
        }
        auto* const connection = static_cast<proxied_connection*>(self);
        connection->forward();
        bufferevent* const other = source == connection->server ? connection->caller : connection->server;
        const bool is_flushed = evbuffer_get_length(bufferevent_get_output(other)) == 0;
        if (is_flushed || (what & BEV_EVENT_ERROR) != 0) {
            connection->owner.remove(connection);
            return;
        }
        // Bytes received before the close are written to the other side first.
        bufferevent_setcb(
            other, nullptr, &proxied_connection::on_flushed, &proxied_connection::on_flushed_event, self);
    }

    static void on_flushed(bufferevent* /*source*/, void* self)
    {
        auto* const connection = static_cast<proxied_connection*>(self);
        connection->owner.remove(connection);
    }

    static void on_flushed_event(bufferevent* /*source*/, short /*what*/, void* self) // NOLINT(*-runtime-int)
    {
        on_flushed(nullptr, self);
    }

    fault_proxy& owner;
    bufferevent* caller;
    bufferevent* server;
    proxied_direction up;
    proxied_direction down;
};

fault_proxy::fault_proxy(event_loop& loop, socket_address target) : loop(loop), target(std::move(target)) {}

fault_proxy::~fault_proxy()
{
    if (this->listener != nullptr) {
        evconnlistener_free(this->listener);
    }
}

result<std::string> fault_proxy::listen(const socket_address& address)
{
    auto native = to_native(address);
    constexpr unsigned flags = LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE;
    // The sockets API takes every kind of address as sockaddr*.
    this->listener =
        evconnlistener_new_bind(this->loop.native_handle(),
                                &fault_proxy::on_accept,
                                this,
                                flags,
                                -1,
                                reinterpret_cast<sockaddr*>(&native), // NOLINT(*-reinterpret-cast)
                                sizeof(native));
    if (this->listener == nullptr) {
        return fail(result_code::listen_failed, "cannot listen on " + to_text(address));
    }
    sockaddr_in bound{};
    socklen_t length = sizeof(bound);
    getsockname(
        evconnlistener_get_fd(this->listener), reinterpret_cast<sockaddr*>(&bound), &length); // NOLINT
    return to_text({address.host, ntohs(bound.sin_port)});
}

void fault_proxy::on_accept(
    evconnlistener* /*listener*/, int descriptor, sockaddr* /*peer*/, int /*length*/, void* self)
{
    auto& proxy = *static_cast<fault_proxy*>(self);
    if (proxy.faults.value("cut") > 0) {
        close(descriptor);
        return;
    }
    auto connection =
        std::make_unique<proxied_connection>(proxy, proxy.faults, proxy.loop, proxy.link_free_at, descriptor);
    connection->connect(proxy.target);
    proxy.connections.insert(std::move(connection));
}

void fault_proxy::remove(proxied_connection* closed)
{
    std::erase_if(this->connections, [&](const auto& connection) { return connection.get() == closed; });
}

void fault_proxy::serve_control(const std::shared_ptr<http_exchange>& exchange)
{
    if (!this->faults.serve(*exchange)) {
        exchange->send_response({404, {}, "no such path\n"}); // NOLINT(*-magic-numbers)
        return;
    }
    this->apply_faults();
}

void fault_proxy::apply_faults()
{
    if (this->faults.value("cut") > 0) {
        this->connections.clear();
        return;
    }
    for (const auto& connection : this->connections) {
        connection->forward();
    }
}

} // namespace tanager::standin
