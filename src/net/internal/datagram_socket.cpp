#include "net/datagram_socket.h"

#include <arpa/inet.h>
#include <array>
#include <event2/event.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace tanager {

namespace {

constexpr std::size_t longest_datagram = 65'536;
// Datagrams read in one turn of the loop, so that a flood leaves time for requests.
constexpr int datagrams_per_turn = 64;

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
    udp_socket(int descriptor, socket_address taken, receiver receive)
        : descriptor(descriptor), taken(std::move(taken)), receive(std::move(receive))
    {
    }

    ~udp_socket() override
    {
        if (this->readable != nullptr) {
            event_free(this->readable);
        }
        close(this->descriptor);
    }

    udp_socket(const udp_socket&) = delete;
    udp_socket& operator=(const udp_socket&) = delete;
    udp_socket(udp_socket&&) = delete;
    udp_socket& operator=(udp_socket&&) = delete;

    void watch(event_loop& loop)
    {
        constexpr auto what = static_cast<short>(EV_READ | EV_PERSIST); // NOLINT(*-runtime-int)
        this->readable =
            event_new(loop.native_handle(), this->descriptor, what, &udp_socket::on_readable, this);
        event_add(this->readable, nullptr);
    }

    std::string address() const override
    {
        return to_text(this->taken);
    }

    bool send(const socket_address& peer, std::string_view datagram) override
    {
        const auto native = to_native(peer);
        if (!native) {
            return false;
        }
        // The sockets interface is typed this way.
        const auto* const target = reinterpret_cast<const sockaddr*>(&*native); // NOLINT(*-reinterpret-cast)
        const auto sent =
            sendto(this->descriptor, datagram.data(), datagram.size(), MSG_DONTWAIT, target, sizeof(*native));
        return sent == static_cast<ssize_t>(datagram.size());
    }

private:
    static void on_readable(int /*descriptor*/, short /*what*/, void* self) // NOLINT(*-runtime-int)
    {
        static_cast<udp_socket*>(self)->read_some();
    }

    void read_some()
    {
        for (int count = 0; count < datagrams_per_turn; ++count) {
            const auto length =
                recv(this->descriptor, this->buffer.data(), this->buffer.size(), MSG_DONTWAIT);
            if (length < 0) {
                return;
            }
            this->receive({this->buffer.data(), static_cast<std::size_t>(length)});
        }
    }

    int descriptor;
    socket_address taken;
    receiver receive;
    event* readable = nullptr;
    std::array<char, longest_datagram> buffer{};
};

} // namespace

result<std::unique_ptr<datagram_socket>>
datagram_socket::create(event_loop& loop, const std::string& address, receiver receive)
{
    const auto wanted = parse_address(address);
    if (!wanted) {
        return tl::make_unexpected(wanted.error());
    }
    auto native = to_native(*wanted);
    if (!native) {
        return tl::make_unexpected(native.error());
    }
    const int descriptor = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    auto* const bound = reinterpret_cast<sockaddr*>(&*native); // NOLINT(*-reinterpret-cast)
    socklen_t length = sizeof(*native);
    if (descriptor < 0 || bind(descriptor, bound, length) != 0) {
        if (descriptor >= 0) {
            close(descriptor);
        }
        return fail(result_code::listen_failed, "cannot receive datagrams on " + address);
    }
    getsockname(descriptor, bound, &length);
    auto made = std::make_unique<udp_socket>(
        descriptor, socket_address{wanted->host, ntohs(native->sin_port)}, std::move(receive));
    made->watch(loop);
    return made;
}

} // namespace tanager
