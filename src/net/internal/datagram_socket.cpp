#include "net/datagram_socket.h"

#include "net/internal/bind_retry.h"
#include "net/internal/callback_guard.h"

#include <arpa/inet.h>
#include <array>
#include <event2/event.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace tanager {

namespace {

constexpr std::size_t max_datagram_bytes = 65'536;
// Limits the datagrams read per loop iteration, so that a flood of them does not delay requests.
constexpr int max_datagrams_per_iteration = 64;

result<sockaddr_in> to_native(const socket_address& address)
{
    sockaddr_in native{};
    native.sin_family = AF_INET;
    native.sin_port = htons(address.port);
    if (inet_pton(AF_INET, address.host.c_str(), &native.sin_addr) != 1) {
        return fail(result_code::address_invalid, "'" + address.host + "' is not an IPv4 address");
    }
    return native;
}

class udp_socket final : public datagram_socket {
public:
    udp_socket(int descriptor, socket_address bound_address, receiver receive, idle_notice on_idle)
        : descriptor(descriptor),
          bound_address(std::move(bound_address)),
          receive(std::move(receive)),
          on_idle(std::move(on_idle))
    {
    }

    ~udp_socket() override
    {
        if (this->read_event != nullptr) {
            event_free(this->read_event);
        }
        close(this->descriptor);
    }

    udp_socket(const udp_socket&) = delete;
    udp_socket& operator=(const udp_socket&) = delete;
    udp_socket(udp_socket&&) = delete;
    udp_socket& operator=(udp_socket&&) = delete;

    void start_reading(event_loop& loop)
    {
        constexpr auto what = static_cast<short>(EV_READ | EV_PERSIST); // NOLINT(*-runtime-int)
        this->read_event =
            event_new(loop.native_handle(), this->descriptor, what, &udp_socket::on_readable, this);
        event_add(this->read_event, nullptr);
    }

    std::string address() const override
    {
        return to_text(this->bound_address);
    }

    bool send(const socket_address& peer, std::string_view datagram) override
    {
        const auto native = to_native(peer);
        if (!native) {
            return false;
        }
        // The sockets API takes a sockaddr pointer.
        const auto* const target = reinterpret_cast<const sockaddr*>(&*native); // NOLINT(*-reinterpret-cast)
        const auto sent =
            sendto(this->descriptor, datagram.data(), datagram.size(), MSG_DONTWAIT, target, sizeof(*native));
        return sent == static_cast<ssize_t>(datagram.size());
    }

private:
    static void on_readable(int /*descriptor*/, short /*what*/, void* self) // NOLINT(*-runtime-int)
    {
        static_cast<udp_socket*>(self)->read_pending();
    }

    void read_pending()
    {
        for (int count = 0; count < max_datagrams_per_iteration; ++count) {
            const auto length =
                recv(this->descriptor, this->buffer.data(), this->buffer.size(), MSG_DONTWAIT);
            if (length < 0) {
                if (this->on_idle) {
                    run_guarded("datagram", this->on_idle);
                }
                return;
            }
            run_guarded("datagram", [&] {
                this->receive({this->buffer.data(), static_cast<std::size_t>(length)});
            });
        }
    }

    int descriptor;
    socket_address bound_address;
    receiver receive;
    idle_notice on_idle;
    event* read_event = nullptr;
    std::array<char, max_datagram_bytes> buffer{};
};

} // namespace

result<std::unique_ptr<datagram_socket>> datagram_socket::create(event_loop& loop,
                                                                 const std::string& address,
                                                                 receiver receive,
                                                                 std::chrono::milliseconds max_bind_wait,
                                                                 idle_notice on_idle)
{
    const auto requested = parse_address(address);
    if (!requested) {
        return tl::make_unexpected(requested.error());
    }
    auto native = to_native(*requested);
    if (!native) {
        return tl::make_unexpected(native.error());
    }
    const int descriptor = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    auto* const native_address = reinterpret_cast<sockaddr*>(&*native); // NOLINT(*-reinterpret-cast)
    socklen_t length = sizeof(*native);
    const auto try_bind = [&] {
        return bind(descriptor, native_address, length) == 0;
    };
    if (descriptor < 0 || !bind_with_retry(address, max_bind_wait, try_bind)) {
        if (descriptor >= 0) {
            close(descriptor);
        }
        return fail(result_code::listen_failed, "cannot receive datagrams on " + address);
    }
    getsockname(descriptor, native_address, &length);
    auto created = std::make_unique<udp_socket>(descriptor,
                                                socket_address{requested->host, ntohs(native->sin_port)},
                                                std::move(receive),
                                                std::move(on_idle));
    created->start_reading(loop);
    return created;
}

} // namespace tanager
