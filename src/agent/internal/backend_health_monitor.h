#pragma once

#include "net/event_loop.h"
#include "net/types/http_types.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

namespace tanager {

// Tracks whether the backend server accepts TCP connections, and distinguishes a crash from a single broken
// connection.
//
// Without it, an agent whose backend server is down would attract work, because it refuses attempts faster
// than other agents run them.
class backend_health_monitor {
public:
    // `crash_id` identifies the crash; 0 means that the backend server has not crashed.
    using crash_callback = std::function<void(std::uint64_t crash_id)>;

    // Probes once at the start. `state_callback` is called each time the backend server goes down or comes
    // back up.
    backend_health_monitor(event_loop& loop,
                           socket_address backend,
                           std::uint64_t incarnation,
                           std::function<void(bool is_down)> state_callback);

    // Probes the backend server to determine whether a lost call was caused by a crash. Calls that are lost
    // while a probe is pending share its result and its crash id.
    void diagnose_lost_call(crash_callback callback);

    // Marks the backend server as down because it refused a connection.
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
