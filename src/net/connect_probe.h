// Checks whether a process listens on an address, without sending data.
#pragma once

#include "net/event_loop.h"
#include "net/types/http_types.h"

#include <functional>

namespace tanager {

// Connects, waits briefly and closes the connection. Passes false to `callback` if the connection is refused,
// or closed by the peer during the wait: the listening socket of a dying process may outlive its connections.
// Passes true if the connection stays open, or if it is not established within `timeout`, so that a slow
// process is not reported as gone.
void probe_connection(event_loop& loop,
                      const socket_address& address,
                      duration timeout,
                      std::function<void(bool is_listening)> callback);

} // namespace tanager
