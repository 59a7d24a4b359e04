// Fake of the platform's calls that are the duty of one gateway at a time.
#pragma once

#include "net/event_loop.h"
#include "net/http_exchange.h"
#include "standins/support/fault_registry.h"

#include <list>
#include <memory>
#include <nlohmann/json.hpp>

namespace tanager::standin {

// POST /usage takes a report; GET /usage returns all accepted calls in order, each with `holder`, `token`,
// `windowIndex`, `counts` and `atMs`. Faults (levels, active while above 0): `outage` (each call gets a 503),
// `silent` (each call is left without a response, and is not accepted), `slow_ms` (each call is accepted, but
// answered only after this time).
class fake_duty_platform {
public:
    explicit fake_duty_platform(event_loop& loop);

    void serve(const std::shared_ptr<http_exchange>& exchange);

private:
    void accept(const std::shared_ptr<http_exchange>& exchange);

    event_loop& loop;
    fault_registry faults;
    nlohmann::json calls = nlohmann::json::array();
    std::list<std::shared_ptr<http_exchange>> withheld_exchanges;
    std::list<std::unique_ptr<loop_timer>> delays;
};

} // namespace tanager::standin
