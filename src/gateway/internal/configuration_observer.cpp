#include "gateway/internal/configuration_observer.h"

#include "logging/event_log.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace tanager {

configuration_observer::configuration_observer(const store_codec& codec, route_directory& routes)
    : codec(codec), routes(routes)
{
}

std::uint64_t configuration_observer::known_revision() const
{
    return this->revision;
}

watch_action configuration_observer::on_listing(const object_listing& listing)
{
    std::vector<const stored_object*> versions;
    for (const auto& object : listing.objects) {
        if (object.name == this->codec.configuration_object_name() && !object.deleted) {
            versions.push_back(&object);
        }
    }
    // Decoding a large configuration takes a slow host more than a tenth of a second, so versions that a
    // newer one of the same listing replaces are left out.
    for (bool is_newest = true, is_usable = false; !versions.empty() && !is_usable; versions.pop_back()) {
        is_usable = this->apply(*versions.back());
        if (std::exchange(is_newest, false)) {
            this->is_newest_rejected = !is_usable;
        }
    }
    this->revision = std::max(this->revision, listing.revision);
    return watch_action::continue_watching;
}

// Returns whether the object describes a configuration, which is then in force unless it is older than that.
bool configuration_observer::apply(const stored_object& object)
{
    auto table = this->codec.decode_configuration(object);
    if (!table) {
        write_event(log_event::configuration_rejected,
                    {{"revision", std::to_string(object.version)}, {"detail", table.error().detail}});
        return false;
    }
    const auto version = table->version;
    const auto size = table->routes.size();
    const auto previous_version = this->routes.version();
    if (!this->routes.apply(std::move(*table))) {
        if (version < previous_version) {
            write_event(
                log_event::configuration_rejected,
                {{"version", std::to_string(version)},
                 {"detail", "older than " + std::to_string(previous_version) + ", which is in force"}});
        }
        return true;
    }
    if (const auto& organisations = this->routes.organisations()) {
        for (const auto& problem : organisations->problems()) {
            write_event(log_event::organisation_entry_invalid,
                        {{"version", std::to_string(version)}, {"detail", problem}});
        }
    }
    write_event(log_event::configuration_applied,
                {{"version", std::to_string(version)},
                 {"before", std::to_string(previous_version)},
                 {"revision", std::to_string(object.version)},
                 {"routes", std::to_string(size)}});
    return true;
}

bool configuration_observer::is_newest_in_force() const
{
    return !this->is_newest_rejected;
}

void configuration_observer::on_store_unavailable(const error& /*cause*/) {}

void configuration_observer::on_store_recovered() {}

} // namespace tanager
