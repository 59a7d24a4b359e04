#include "net/internal/socket_options.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

namespace tanager {

namespace {

// How long sent bytes may stay unacknowledged; peers on the same site acknowledge within a few milliseconds.
constexpr int unacknowledged_timeout_ms = 3'000;
// Idle time before the first keepalive probe, interval between probes, and unanswered probes until failure.
constexpr int keepalive_idle_seconds = 2;
constexpr int keepalive_interval_seconds = 1;
constexpr int keepalive_max_probes = 3;

void set_option(int descriptor, int level, int name, int value)
{
    // Errors are ignored: a kernel without the option only detects unresponsive peers later.
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

bool is_closed_by_peer(int descriptor)
{
    pollfd state{descriptor, POLLRDHUP, 0};
    return poll(&state, 1, 0) > 0 && (state.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

} // namespace tanager
