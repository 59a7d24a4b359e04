// Faults that are set on a running stand-in: POST /faults?<kind>=<value>&...
#pragma once

#include "net/http_exchange.h"

#include <cstdint>
#include <map>
#include <string>

namespace tanager::standin {

class fault_registry {
public:
    // Serves /faults. Returns whether the request was for that path.
    bool serve(http_exchange& exchange);

    // Uses up one count of a fault; returns whether there was one.
    bool consume(const std::string& kind);

    // Uses up a fault with its whole value, which is returned; 0 if there was none.
    std::uint64_t take(const std::string& kind);

    // Returns the current value of a fault without using it up; 0 if it was never set.
    std::uint64_t value(const std::string& kind) const;

private:
    std::map<std::string, std::uint64_t> values;
};

} // namespace tanager::standin
