// Identifies callers by the configuration in force.
#pragma once

#include "gateway/request_codec.h"
#include "organisations/caller_gate.h"
#include "routes/route_directory.h"

#include <optional>

namespace tanager {

class caller_identification {
public:
    caller_identification(const request_codec& codec, const route_directory& routes);

    // Returns nothing where the configuration has no organisations. Fails like `caller_gate::identify`.
    result<std::optional<caller_identity>> identify(const http_request& request,
                                                    const route& chosen_route) const;

private:
    const request_codec& codec;
    const route_directory& routes;
};

} // namespace tanager
