// A backend server of the platform: plain answers, or a stream of events.
#pragma once

#include "net/event_loop.h"
#include "net/http_exchange.h"
#include "standins/support/fault_registry.h"
#include "standins/support/request_target.h"

#include <map>
#include <memory>
#include <string>

namespace tanager::standin {

// Paths below /stream/ give `events` events, one each `event_ms`; the others one answer after `work_ms`. What
// ran is counted by the request's id and shown under /runs.
//
// Faults: `refuse` (count: not run), `cut` (count: runs, then breaks off; a stream in the middle of an
// event), `foreign` (count: the answer names another request), `unsigned` (count), `extra` (count: a second
// answer follows).
class fake_backend_server {
public:
    fake_backend_server(event_loop& loop, std::string id);

    void serve(const std::shared_ptr<http_exchange>& exchange);

private:
    void run(const std::shared_ptr<http_exchange>& exchange);
    void respond(http_exchange& exchange);
    void start_stream(const std::shared_ptr<http_exchange>& exchange);
    void send_event(const std::shared_ptr<http_exchange>& exchange, std::uint64_t number, std::uint64_t last);
    void schedule(std::chrono::milliseconds delay, std::function<void()> callback);
    http_headers make_response_headers(const http_exchange& exchange);

    event_loop& loop;
    std::string id;
    fault_registry faults;
    std::map<std::string, unsigned> execution_counts;
    std::uint64_t last_timer_id = 0;
    std::map<std::uint64_t, std::unique_ptr<loop_timer>> pending_timers;
};

} // namespace tanager::standin
