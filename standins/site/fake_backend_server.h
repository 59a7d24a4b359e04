// Fake of a backend server of the platform: sends single responses or streams of events.
#pragma once

#include "net/event_loop.h"
#include "net/http_exchange.h"
#include "standins/support/fault_registry.h"
#include "standins/support/request_target.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace tanager::standin {

// Paths below /stream/ send `events` events, one every `event_ms`; all other paths send one response after
// `work_ms`. GET /runs returns the number of executions by request id, and GET /callers the credentials and
// the organisation that each execution named.
//
// Faults, each used up by one per occurrence: `refuse` (the request is refused as not run), `cut` (the
// request runs, then its connection is closed; that of a stream in the middle of an event), `foreign` (the
// response names another request), `unsigned` (the response has no Response-Seal). `extra` is accepted and
// has no effect. While `leaving` is not 0, the server states in all its answers that it leaves.
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
    void respond_without_run(http_exchange& exchange, int status, http_headers headers);
    void add_leaving_statement(http_headers& headers) const;

    event_loop& loop;
    std::string id;
    fault_registry faults;
    std::map<std::string, unsigned> execution_counts;
    std::map<std::string, std::vector<std::string>> callers; // by request id
    std::uint64_t last_timer_id = 0;
    std::map<std::uint64_t, std::unique_ptr<loop_timer>> pending_timers;
};

} // namespace tanager::standin
