#include "net/internal/socket_options.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace tanager {

namespace {

// Milliseconds that sent bytes may stay unacknowledged; a peer on the same site answers within a few.
constexpr int unacknowledged_timeout_ms = 3'000;
// Seconds of idleness before the first probe and between probes, and probes until the connection fails.
constexpr int keepalive_idle_seconds = 2;
constexpr int keepalive_interval_seconds = 1;
constexpr int keepalive_max_probes = 3;

void set_option(int descriptor, int level, int name, int value)
{
    // A kernel without the option only finds silent peers later.
    static_cast<void>(setsockopt(descriptor, level, name, &value, sizeof(value)));
}

} // namespace

void set_connection_options(int descriptor)
{
    if (descriptor < 0) {
        return;
    }
    set_option(descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
    set_option(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, unacknowledged_timeout_ms);
    set_option(descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
    set_option(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, keepalive_idle_seconds);
    set_option(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, keepalive_interval_seconds);
    set_option(descriptor, IPPROTO_TCP, TCP_KEEPCNT, keepalive_max_probes);
}

} // namespace tanager
