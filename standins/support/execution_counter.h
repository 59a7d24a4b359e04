// Counts what a stand-in ran, by the text that names the work: GET /runs.
#pragma once

#include "net/http_exchange.h"

#include <cstdint>
#include <map>
#include <string>

namespace tanager::standin {

class execution_counter {
public:
    // Serves /runs; returns whether the request was for it.
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
