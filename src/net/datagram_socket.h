// Sends and receives datagrams on one address.
#pragma once

#include "base/types/result.h"
#include "net/event_loop.h"
#include "net/types/http_types.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace tanager {

class datagram_socket {
public:
    using receiver = std::function<void(std::string_view datagram)>;

    // Port 0 takes a free port. Fails with listen_failed or address_invalid.
    static result<std::unique_ptr<datagram_socket>>
    create(event_loop& loop, const std::string& address, receiver receive);

    datagram_socket() = default;
    datagram_socket(const datagram_socket&) = delete;
    datagram_socket& operator=(const datagram_socket&) = delete;
    datagram_socket(datagram_socket&&) = delete;
    datagram_socket& operator=(datagram_socket&&) = delete;
    virtual ~datagram_socket() = default;

    // Returns the address with the port that was taken.
    virtual std::string address() const = 0;

    // Sends without waiting; returns whether the kernel took it. Datagrams may be lost anyway.
    virtual bool send(const socket_address& peer, std::string_view datagram) = 0;
};

} // namespace tanager
