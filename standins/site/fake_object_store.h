// The platform's store as the gateway meets it: objects by kind and name, watches, lost history.
#pragma once

#include "net/event_loop.h"
#include "net/http_exchange.h"
#include "standins/platform/versioned_object_table.h"
#include "standins/support/fault_registry.h"
#include "standins/support/request_target.h"

#include <list>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

namespace tanager::standin {

// Faults: `outage` (level: every call is refused), `silent` (level: no call is answered), `forget` (count: a
// watch hears that its history is gone), `lost_response_percent` (count: a write takes effect, but its
// connection is cut), `unreadable` (level: events are answered by bytes that are no JSON).
class fake_object_store {
public:
    explicit fake_object_store(event_loop& loop);

    // Serves /objects and /faults; returns whether the request was for it.
    bool serve(const std::shared_ptr<http_exchange>& exchange);

    // Writes an object whatever its version; `name` is kind/name.
    void write(const std::string& name, const nlohmann::json& spec);
    void remove(const std::string& name);

private:
    struct pending_watch {
        std::shared_ptr<http_exchange> exchange;
        std::string prefix;
        std::uint64_t since_revision = 0;
        std::unique_ptr<loop_timer> expiry;
    };

    void serve_objects(const std::shared_ptr<http_exchange>& exchange, const request_target& target);
    void serve_watch(const std::shared_ptr<http_exchange>& exchange, const request_target& target);
    void serve_write(http_exchange& exchange, const request_target& target);
    nlohmann::json events_since(const std::string& prefix, std::uint64_t since_revision) const;
    void complete_watches();

    event_loop& loop;
    fault_registry faults;
    versioned_object_table table;
    std::list<pending_watch> watches;
    std::list<std::shared_ptr<http_exchange>> withheld_exchanges;
};

} // namespace tanager::standin
