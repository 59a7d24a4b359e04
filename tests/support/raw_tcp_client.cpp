#include "tests/support/raw_tcp_client.h"

#include "net/types/http_types.h"

#include <arpa/inet.h>
#include <stdexcept>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

namespace tanager::testing {

namespace {

constexpr timeval socket_timeout{30, 0};
constexpr std::size_t receive_bytes = 64 * 1024UL;

} // namespace

raw_tcp_client::raw_tcp_client(const std::string& address, int receive_buffer_bytes)
    : descriptor(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    const auto parsed = parse_address(address);
    sockaddr_in peer{};
    peer.sin_family = AF_INET;
    peer.sin_port = htons(parsed->port);
    inet_pton(AF_INET, parsed->host.c_str(), &peer.sin_addr);
    setsockopt(this->descriptor, SOL_SOCKET, SO_RCVTIMEO, &socket_timeout, sizeof(socket_timeout));
    setsockopt(this->descriptor, SOL_SOCKET, SO_SNDTIMEO, &socket_timeout, sizeof(socket_timeout));
    if (receive_buffer_bytes > 0) {
        setsockopt(
            this->descriptor, SOL_SOCKET, SO_RCVBUF, &receive_buffer_bytes, sizeof(receive_buffer_bytes));
    }
    // connect() takes a sockaddr* for every address family.
    if (connect(this->descriptor, reinterpret_cast<sockaddr*>(&peer), sizeof(peer)) != 0) { // NOLINT
        close(this->descriptor);
        throw std::runtime_error("cannot connect to " + address);
    }
}

raw_tcp_client::~raw_tcp_client()
{
    close(this->descriptor);
}

bool raw_tcp_client::send(const std::string& bytes) const
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const auto length =
            ::send(this->descriptor, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL); // NOLINT
        if (length <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(length);
    }
    return true;
}

void raw_tcp_client::shutdown_send() const
{
    shutdown(this->descriptor, SHUT_WR);
}

std::string raw_tcp_client::receive(std::size_t max_bytes) const
{
    std::string bytes(max_bytes, '\0');
    const auto length = recv(this->descriptor, bytes.data(), bytes.size(), 0);
    bytes.resize(length > 0 ? static_cast<std::size_t>(length) : 0);
    return bytes;
}

std::string raw_tcp_client::receive_until(const std::string& text) const
{
    std::string all;
    while (all.find(text) == std::string::npos) {
        const std::string bytes = this->receive(receive_bytes);
        if (bytes.empty()) {
            break;
        }
        all += bytes;
    }
    return all;
}

} // namespace tanager::testing
