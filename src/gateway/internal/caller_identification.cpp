#include "gateway/internal/caller_identification.h"

#include "logging/event_log.h"

namespace tanager {

caller_identification::caller_identification(const clock& time,
                                             const request_codec& codec,
                                             const route_directory& routes,
                                             const caller_gate_settings& settings,
                                             currency_source current_as_of)
    : time(time), codec(codec), routes(routes), gate(settings), current_as_of(std::move(current_as_of))
{
}

time_point caller_identification::now() const
{
    return this->time.now();
}

result<std::optional<caller_identity>> caller_identification::identify(const http_request& request,
                                                                       const route& chosen_route,
                                                                       time_point received) const
{
    const auto& directory = this->routes.organisations();
    if (directory == nullptr) {
        return std::nullopt;
    }
    const auto key = this->codec.decode_key(request);
    auto identity =
        this->gate.identify(*directory, {key, !chosen_route.is_public, received}, this->current_as_of());
    if (!identity) {
        return tl::make_unexpected(std::move(identity.error()));
    }
    return std::optional{std::move(*identity)};
}

void caller_identification::check()
{
    if (this->routes.organisations() == nullptr) {
        return;
    }
    const bool is_current = this->gate.is_current(this->current_as_of(), this->now());
    if (is_current == std::exchange(this->was_current, is_current)) {
        return;
    }
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
        this->configuration_age().value_or(duration{-1}));
    write_event(is_current ? log_event::keys_certain : log_event::keys_uncertain,
                {{"version", std::to_string(this->routes.version())},
                 {"age_ms", this->configuration_age() ? std::to_string(age.count()) : "-"}});
}

std::optional<duration> caller_identification::configuration_age() const
{
    const auto as_of = this->current_as_of();
    if (this->routes.organisations() == nullptr || !as_of) {
        return std::nullopt;
    }
    return this->now() - *as_of;
}

} // namespace tanager
