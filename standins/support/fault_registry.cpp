#include "standins/support/fault_registry.h"

#include "logging/event_log.h"
#include "standins/support/request_target.h"

#include <utility>

namespace tanager::standin {

bool fault_registry::serve(http_exchange& exchange)
{
    const auto target = parse_request_target(exchange.request().path);
    if (target.path != "/faults") {
        return false;
    }
    for (const auto& [kind, value] : target.query) {
        this->values[kind] = target.query_number(kind);
        write_event(log_event::fault_switched, {{"kind", kind}, {"count", value}});
    }
    std::string body;
    for (const auto& [kind, count] : this->values) {
        body += kind + " " + std::to_string(count) + "\n";
    }
    exchange.send_response({200, {{"Content-Type", "text/plain"}}, body}); // NOLINT(*-magic-numbers)
    return true;
}

bool fault_registry::consume(const std::string& kind)
{
    const auto found = this->values.find(kind);
    if (found == this->values.end() || found->second == 0) {
        return false;
    }
    --found->second;
    return true;
}

std::uint64_t fault_registry::take(const std::string& kind)
{
    const auto found = this->values.find(kind);
    return found == this->values.end() ? 0 : std::exchange(found->second, 0);
}

std::uint64_t fault_registry::value(const std::string& kind) const
{
    const auto found = this->values.find(kind);
    return found == this->values.end() ? 0 : found->second;
}

} // namespace tanager::standin
