// Fake of the platform's store as the gateway uses it: objects by kind and name, watches, lost history.
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

// Faults (level: active while above 0; count: used up by one per occurrence): `outage` (level: every call
// gets a 503), `silent` (level: no call gets a response), `forget` (count: a watch gets a 410 because its
// history is lost), `lost_answer` (count: a write takes effect, but its connection is closed without a
// response), `unreadable` (level: events are sent as invalid JSON).
class fake_object_store {
public:
    explicit fake_object_store(event_loop& loop);

    // Serves /objects and /faults. Returns whether the request was for one of them.
    bool serve(const std::shared_ptr<http_exchange>& exchange);

    // Writes an object regardless of its current version; `name` is kind/name.
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
