// Identifies callers by the configuration in force.
#pragma once

#include "base/clock.h"
#include "gateway/request_codec.h"
#include "organisations/caller_gate.h"
#include "routes/route_directory.h"

#include <functional>
#include <optional>

namespace tanager {

class caller_identification {
public:
    // Returns the latest time at which the configuration in force was certainly the newest.
    using currency_source = std::function<std::optional<time_point>()>;

    // `time` is the clock of `current_as_of`, and must count the time for which the host is suspended.
    caller_identification(const clock& time,
                          const request_codec& codec,
                          const route_directory& routes,
                          const caller_gate_settings& settings,
                          currency_source current_as_of);

    // Returns the time at which a request that is read now was received, for `identify`.
    time_point now() const;

    // Returns nothing where the configuration has no organisations. Fails like `caller_gate::identify`.
    result<std::optional<caller_identity>>
    identify(const http_request& request, const route& chosen_route, time_point received) const;

    // Logs when the configuration becomes too old to vouch for keys, and when it is confirmed again.
    void check();

    // Returns the time since the configuration was confirmed; nothing where that does not matter.
    std::optional<duration> configuration_age() const;

private:
    const clock& time;
    const request_codec& codec;
    const route_directory& routes;
    caller_gate gate;
    currency_source current_as_of;
    bool was_current = true;
};

} // namespace tanager
