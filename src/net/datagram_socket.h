// Sends and receives datagrams on one address.
#pragma once

#include "base/types/result.h"
#include "net/event_loop.h"
#include "net/types/http_types.h"

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace tanager {

class datagram_socket {
public:
    using receiver = std::function<void(std::string_view datagram)>;
    using idle_notice = std::function<void()>;

    // Binds the socket; port 0 selects a free port. Waits for another process to release the address for at
    // most `max_bind_wait`. `on_idle` runs each time all datagrams that had arrived have been received. Fails
    // with listen_failed or address_invalid.
    static result<std::unique_ptr<datagram_socket>> create(event_loop& loop,
                                                           const std::string& address,
                                                           receiver receive,
                                                           std::chrono::milliseconds max_bind_wait = {},
                                                           idle_notice on_idle = {});

    datagram_socket() = default;
    datagram_socket(const datagram_socket&) = delete;
    datagram_socket& operator=(const datagram_socket&) = delete;
    datagram_socket(datagram_socket&&) = delete;
    datagram_socket& operator=(datagram_socket&&) = delete;
    virtual ~datagram_socket() = default;

    // Returns the bound address with the actual port.
    virtual std::string address() const = 0;

    // Sends without blocking; returns whether the kernel accepted the datagram, which may still be lost.
    virtual bool send(const socket_address& peer, std::string_view datagram) = 0;
};

} // namespace tanager
