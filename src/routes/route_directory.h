// Finds the route of a request in the newest configuration.
#pragma once

#include "base/types/result.h"
#include "routes/types/route_table.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>

namespace tanager {

class route_directory {
public:
    // Takes a configuration over if it is newer than the one in force; returns whether it was.
    bool apply(route_table table);

    bool has_configuration() const;
    std::uint64_t version() const;

    // Returns the route of that host with the longest prefix of the path, or null.
    std::shared_ptr<const route> find(std::string_view host, std::string_view path) const;

    std::vector<std::string> model_services() const;

    // Returns the names of the routes in force.
    std::set<std::string> route_names() const;

    const service_config* find_service(const std::string& name) const;

private:
    using prefix_map = std::map<std::string, std::shared_ptr<const route>, std::less<>>;

    std::uint64_t current_version = 0;
    bool is_configured = false;
    std::map<std::string, prefix_map, std::less<>> routes_by_host;
    std::map<std::string, service_config> services;
};

// Picks one of a route's services by weight; `draw` is a uniformly distributed hash of the request.
const std::string& choose_service(const route& chosen, std::uint64_t draw);

} // namespace tanager
