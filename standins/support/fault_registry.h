// Faults that are switched on a stand-in while it runs: POST /faults?<kind>=<count>&...
#pragma once

#include "net/http_exchange.h"

#include <cstdint>
#include <map>
#include <string>

namespace tanager::standin {

class fault_registry {
public:
    // Serves /faults; returns whether the request was for it.
    bool serve(http_exchange& exchange);

    // Uses up one count of a fault; returns whether there was one.
    bool consume(const std::string& kind);

    // Returns a fault's standing value without using it up.
    std::uint64_t value(const std::string& kind) const;

private:
    std::map<std::string, std::uint64_t> values;
};

} // namespace tanager::standin
