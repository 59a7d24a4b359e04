#pragma once

#include "agent/entry_stream.h"
#include "agent/internal/admission_filter.h"
#include "agent/types/agent_settings.h"
#include "base/clock.h"
#include "catalogue/catalogue.h"
#include "limits/share_limiter.h"
#include "net/event_loop.h"
#include "quarantine/crash_confirmations.h"

#include <functional>
#include <map>
#include <memory>

namespace tanager {

// The control streams to all connected entries. Sends load and crash reports, exchanges catalogue changes,
// and receives claim windows, crash reports and the notice that this host is leaving.
class entry_connections {
public:
    entry_connections(event_loop& loop,
                      const clock& time,
                      const agent_settings& settings,
                      std::uint64_t incarnation,
                      catalogue& local_catalogue,
                      const share_limiter& limiter,
                      agent_availability& availability,
                      claim_window_tracker& windows,
                      crash_history& crashes,
                      std::function<std::size_t()> queue_size);

    // Adds a new stream and sends it a report with the crash history.
    void add(const std::shared_ptr<entry_stream>& stream);

    // Sends the current state to every entry now.
    void broadcast_report();

    // Reports to every entry that a request was running during a crash. Calls `confirmed` when every entry
    // has confirmed the report, has disconnected, or has not confirmed it in time.
    void broadcast_crash(const crash_report& report, task confirmed);

    // Closes every stream and stops the periodic reports.
    void close_all();

    std::size_t connection_count() const;

    // Returns the bytes of control messages sent so far, including an estimate of the framing.
    std::uint64_t sent_bytes() const;

private:
    void on_message(std::uint64_t id, const protocol::entry_message& message);
    void on_tick();
    void broadcast_crash_history();
    void record_crashes_from(std::uint64_t id, const protocol::entry_message& message);
    struct connected_entry {
        std::shared_ptr<entry_stream> stream;
        std::chrono::milliseconds requested_report_interval{0};
        time_point next_report;
    };

    protocol::agent_message make_report() const;

    // Returns the shortest report interval that keeps reports to the connected entries within
    // max_control_bytes_per_second, and not less than min_report_interval.
    std::chrono::milliseconds min_interval_for_bandwidth() const;
    std::chrono::milliseconds report_interval_for(const connected_entry& entry) const;
    void send(connected_entry& entry, protocol::agent_message message);

    const clock& time;
    agent_settings settings;
    std::uint64_t incarnation;
    catalogue& local_catalogue;
    const share_limiter& limiter;
    agent_availability& availability;
    claim_window_tracker& windows;
    crash_history& crashes;
    std::function<std::size_t()> queue_size;
    crash_confirmations confirmations;
    std::map<std::uint64_t, connected_entry> entries;
    std::uint64_t last_id = 0;
    std::uint64_t sent_control_bytes = 0;
    std::unique_ptr<loop_timer> report_timer;
};

} // namespace tanager
