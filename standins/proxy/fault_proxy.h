// Forwards TCP connections to one target and injects faults into them.
#pragma once

#include "net/event_loop.h"
#include "net/types/http_types.h"
#include "standins/support/fault_registry.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <set>
#include <string>

struct bufferevent;
struct evconnlistener;
struct sockaddr;

namespace tanager::standin {

class proxied_connection;

// Faults, each active while its value is above 0: `cut` (open and new connections are closed), `stall_up` and
// `stall_down` (bytes towards the target or back are held), `delay_ms` (bytes are forwarded after that time),
// `bytes_per_second` (what all connections together carry back from the target; no limit if 0).
class fault_proxy {
public:
    fault_proxy(event_loop& loop, socket_address target);
    ~fault_proxy();
    fault_proxy(const fault_proxy&) = delete;
    fault_proxy& operator=(const fault_proxy&) = delete;
    fault_proxy(fault_proxy&&) = delete;
    fault_proxy& operator=(fault_proxy&&) = delete;

    // Returns the bound address, with the port that was selected if the given port is 0.
    result<std::string> listen(const socket_address& address);

    // Serves /faults on the control address.
    void serve_control(const std::shared_ptr<http_exchange>& exchange);

private:
    friend class proxied_connection;

    static void on_accept(evconnlistener* listener, int descriptor, sockaddr* peer, int length, void* self);
    void remove(proxied_connection* closed);
    void apply_faults();

    event_loop& loop;
    socket_address target;
    fault_registry faults;
    std::chrono::steady_clock::time_point link_free_at; // when the link back has carried what it was given
    evconnlistener* listener = nullptr;
    std::set<std::unique_ptr<proxied_connection>> connections;
};

} // namespace tanager::standin
