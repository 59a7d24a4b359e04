// The platform's object API and host list, in memory.
#pragma once

#include "net/event_loop.h"
#include "net/http_exchange.h"
#include "standins/platform/versioned_object_table.h"
#include "standins/support/fault_registry.h"
#include "standins/support/request_target.h"

#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <string>

namespace tanager::standin {

// Faults (level: active while above 0; count: used up by one per occurrence): `outage` (level: every call
// gets a 503), `silent` (level: no call gets a response), `lost_answer` (count: a write takes effect, but its
// connection is closed without a response), `host_list_lag_ms` (level: a posted host list becomes visible
// after that time).
class platform_server {
public:
    explicit platform_server(event_loop& loop);

    void serve(const std::shared_ptr<http_exchange>& exchange);

private:
    struct pending_watch {
        std::shared_ptr<http_exchange> exchange;
        std::string prefix;
        std::uint64_t since_revision = 0;
        std::unique_ptr<loop_timer> expiry;
    };

    void serve_object(http_exchange& exchange, const request_target& target);
    void serve_write(http_exchange& exchange, const request_target& target, const std::string& name);
    void serve_list(http_exchange& exchange, const request_target& target);
    void serve_watch(const std::shared_ptr<http_exchange>& exchange, const request_target& target);
    void serve_hosts(http_exchange& exchange);
    void serve_call_counts(http_exchange& exchange);
    void complete_watches();

    event_loop& loop;
    fault_registry faults;
    versioned_object_table table;
    std::string host_list_json;
    std::unique_ptr<loop_timer> host_list_lag;
    std::list<pending_watch> watches;
    std::list<std::shared_ptr<http_exchange>> withheld_exchanges;
    std::map<std::string, std::uint64_t> call_counts;
};

} // namespace tanager::standin
