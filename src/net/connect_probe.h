// Finds out whether anybody listens at an address, without sending anything.
#pragma once

#include "net/event_loop.h"
#include "net/types/http_types.h"

#include <functional>

namespace tanager {

// Connects, waits a moment and closes again. `callback` hears false when the connection was refused or was
// closed by the peer at once: while a process dies, its listening socket may outlive its connections. It
// hears true when the connection held, or nothing was known within the timeout: a peer that is merely slow is
// not taken for gone.
void probe_connection(event_loop& loop,
                      const socket_address& address,
                      duration timeout,
                      std::function<void(bool is_listening)> callback);

} // namespace tanager
