// Fake of the platform's store as the gateway uses it: objects by kind and name, watches, lost history.
#pragma once

#include "net/event_loop.h"
#include "net/http_exchange.h"
#include "standins/platform/versioned_object_table.h"
#include "standins/support/fault_registry.h"
#include "standins/support/request_target.h"

#include <chrono>
#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace tanager::standin {

// Faults (level: active while above 0; count: used up by one per occurrence): `outage` (level: every call
// gets a 503), `silent` (level: no call gets a response), `forget` (count: a watch gets a 410 because its
// history is lost), `lost_answer` (count: a write takes effect, but its connection is closed without a
// response), `unreadable` (level: events are sent as invalid JSON), `restore_ms` (once: the store is away for
// a moment and comes back from a copy of that age, in a new era; it gives the revisions since out again, and
// the operators and backend servers write their objects again soon after), `page_size` (level: names on a
// page of a list, in the order of their bytes; all on one page if 0), `numeric_names` (level: names of digits
// are sent as JSON numbers), `unreadable_servers` (level: lists of servers are sent as invalid JSON),
// `every_version` (level: a watch gets each version of an object since its revision, not the newest alone).
//
// Names may hold any bytes. They are sent as they are, encoded surrogates as escapes. A target that holds a
// character which must be percent-encoded, or an unknown parameter, gets a 400.
//
// Answers state the era of the store once it is above 0.
class fake_object_store {
public:
    explicit fake_object_store(event_loop& loop, std::uint64_t era = 0);

    // Serves /objects and /faults. Returns whether the request was for one of them.
    bool serve(const std::shared_ptr<http_exchange>& exchange);

    // Writes an object regardless of its current version; `name` is kind/name.
    void write(const std::string& name, const nlohmann::json& spec);
    void remove(const std::string& name);

private:
    using steady_clock = std::chrono::steady_clock;

    struct recorded_write {
        steady_clock::time_point at;
        std::string name;
        std::optional<std::string> value; // none for a removal
        std::uint64_t version = 0;
    };

    struct pending_watch {
        std::shared_ptr<http_exchange> exchange;
        std::string prefix;
        std::uint64_t since_revision = 0;
        std::unique_ptr<loop_timer> expiry;
    };

    void serve_objects(const std::shared_ptr<http_exchange>& exchange, const request_target& target);
    void serve_watch(const std::shared_ptr<http_exchange>& exchange, const request_target& target);
    void serve_write(http_exchange& exchange, const request_target& target);
    void serve_list(http_exchange& exchange, const request_target& target, const std::string& prefix);
    std::string name_text(const std::string& name) const;
    std::string object_text(const versioned_object& object) const;
    std::vector<versioned_object> versions_since(const std::string& prefix,
                                                 std::uint64_t since_revision) const;
    std::string events_since(const std::string& prefix, std::uint64_t since_revision) const;
    std::string watch_response(const std::string& events) const;
    void complete_watches();
    void send_json(http_exchange& exchange, int status, const std::string& body) const;
    void send_status(http_exchange& exchange, int status) const;
    std::optional<std::uint64_t>
    apply(const std::string& name, const std::optional<std::string>& value, std::uint64_t expected);
    void restore(std::chrono::milliseconds age);

    event_loop& loop;
    std::uint64_t era;
    std::vector<recorded_write> writes;
    steady_clock::time_point away_until;
    // What was lost and is not written again yet, by name, as last written. It outlasts a further return.
    std::map<std::string, std::optional<std::string>> lost_values;
    std::unique_ptr<loop_timer> rewrite_timer;
    fault_registry faults;
    versioned_object_table table;
    std::list<pending_watch> watches;
    std::list<std::shared_ptr<http_exchange>> withheld_exchanges;
};

} // namespace tanager::standin
