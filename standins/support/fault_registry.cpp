#include "standins/support/fault_registry.h"

#include "logging/event_log.h"
#include "standins/support/request_target.h"

namespace tanager::standin {

bool fault_registry::serve(http_exchange& exchange)
{
    const auto parsed = parse_request_target(exchange.request().path);
    if (parsed.path != "/faults") {
        return false;
    }
    for (const auto& [kind, value] : parsed.query) {
        this->values[kind] = parsed.query_number(kind);
        write_event(log_event::fault_switched, {{"kind", kind}, {"count", value}});
    }
    std::string text;
    for (const auto& [kind, count] : this->values) {
        text += kind + " " + std::to_string(count) + "\n";
    }
    exchange.send_response({200, {{"Content-Type", "text/plain"}}, text}); // NOLINT(*-magic-numbers)
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

std::uint64_t fault_registry::value(const std::string& kind) const
{
    const auto found = this->values.find(kind);
    return found == this->values.end() ? 0 : found->second;
}

} // namespace tanager::standin
