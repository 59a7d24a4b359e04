// Counts what a stand-in ran, by the text that names the work: GET /runs.
#pragma once

#include "net/http_exchange.h"

#include <cstdint>
#include <map>
#include <string>

namespace tanager::standin {

class run_counter {
public:
    // Serves /runs; returns whether the request was for it.
    bool serve(http_exchange& exchange) const;

    void note_started(const std::string& work);
    void note_finished();
    void note_cancelled();

private:
    std::map<std::string, std::uint64_t> started;
    std::uint64_t finished = 0;
    std::uint64_t cancelled = 0;
};

} // namespace tanager::standin
