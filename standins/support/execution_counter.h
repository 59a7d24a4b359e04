// Counts the executions of a stand-in by a text that identifies the work, and serves the counts: GET /runs.
#pragma once

#include "net/http_exchange.h"

#include <cstdint>
#include <map>
#include <string>

namespace tanager::standin {

class execution_counter {
public:
    // Serves /runs. Returns whether the request was for that path.
    bool serve(http_exchange& exchange) const;

    void count_started(const std::string& work);
    void count_finished();
    void count_cancelled();

private:
    std::map<std::string, std::uint64_t> started;
    std::uint64_t finished = 0;
    std::uint64_t cancelled = 0;
};

} // namespace tanager::standin
