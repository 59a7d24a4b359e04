#include "standins/support/execution_counter.h"

#include "standins/support/request_target.h"

#include <nlohmann/json.hpp>

namespace tanager::standin {

bool execution_counter::serve(http_exchange& exchange) const
{
    if (parse_request_target(exchange.request().path).path != "/runs") {
        return false;
    }
    std::uint64_t total = 0;
    for (const auto& [work, count] : this->started) {
        total += count;
    }
    const nlohmann::json body{{"started", total},
                              {"finished", this->finished},
                              {"cancelled", this->cancelled},
                              {"by_work", this->started}};
    exchange.send_response(
        {200, {{"Content-Type", "application/json"}}, body.dump()}); // NOLINT(*-magic-numbers)
    return true;
}

void execution_counter::count_started(const std::string& work)
{
    ++this->started[work];
}

void execution_counter::count_finished()
{
    ++this->finished;
}

void execution_counter::count_cancelled()
{
    ++this->cancelled;
}

} // namespace tanager::standin
