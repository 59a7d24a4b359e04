#pragma once

#include "net/event_loop.h"
#include "net/types/http_types.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

namespace tanager {

// Knows whether anybody listens at the backend server's address, and tells a crash from one broken
// connection.
//
// An agent whose backend server is down would otherwise draw work by refusing it faster than others run it.
class backend_health_monitor {
public:
    // `crash` names the crash, or is 0 when the backend server is alive.
    using crash_callback = std::function<void(std::uint64_t crash_id)>;

    // `changed` hears each time the backend server goes down or comes back. Probes once at the start.
    backend_health_monitor(event_loop& loop,
                           socket_address backend,
                           std::uint64_t incarnation,
                           std::function<void(bool is_down)> state_callback);

    // Finds out why a call was lost. Calls lost at the same time share one answer.
    void diagnose_lost_call(crash_callback callback);

    // Records that a connection was refused.
    void report_connection_refused();

private:
    void probe(std::function<void(bool is_refused)> callback);
    void on_crash_probe_done(bool is_refused);
    void set_down(bool down);

    event_loop& loop;
    socket_address backend;
    std::uint64_t incarnation;
    std::function<void(bool)> state_callback;
    bool is_down = false;
    std::uint64_t crash_count = 0;
    std::vector<crash_callback> pending_diagnoses;
    std::unique_ptr<loop_timer> recovery_probe;
};

} // namespace tanager
