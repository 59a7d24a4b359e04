// Finds the route of a request in the configuration in force.
#pragma once

#include "base/types/result.h"
#include "organisations/organisation_directory.h"
#include "routes/types/route_table.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>

namespace tanager {

class route_directory {
public:
    // Replaces the configuration in force if `table` has a higher version; returns whether it was replaced.
    bool apply(route_table table);

    bool has_configuration() const;
    std::uint64_t version() const;

    // Returns the route of `host` with the longest matching prefix of `path`, or null. The port and the case
    // of the host are ignored, and so is the query of the path.
    std::shared_ptr<const route> find(std::string_view host, std::string_view path) const;

    // Returns the names of the services that are served by model engines.
    std::vector<std::string> model_services() const;

    // Returns the names of the routes in force.
    std::set<std::string> route_names() const;

    // Returns null where the configuration has no organisations, so that callers need no key.
    const std::shared_ptr<const organisation_directory>& organisations() const;

    // Returns null when the configuration has no such service.
    const service_config* find_service(const std::string& name) const;

private:
    using prefix_map = std::map<std::string, std::shared_ptr<const route>, std::less<>>;

    std::uint64_t current_version = 0;
    bool is_configured = false;
    std::map<std::string, prefix_map, std::less<>> routes_by_host;
    std::map<std::string, service_config> services;
    std::shared_ptr<const organisation_directory> current_organisations;
};

// Chooses one of a route's services by weight; `draw` is a uniformly distributed hash of the request. The
// route must have at least one service.
const std::string& choose_service(const route& chosen, std::uint64_t draw);

} // namespace tanager
