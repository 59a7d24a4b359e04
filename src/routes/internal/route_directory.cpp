#include "routes/route_directory.h"

#include <algorithm>
#include <cctype>

namespace tanager {

namespace {

std::string to_host_key(std::string_view host)
{
    std::string key{host.substr(0, host.find(':'))};
    std::ranges::transform(key, key.begin(), [](unsigned char character) { return std::tolower(character); });
    return key;
}

} // namespace

bool route_directory::apply(route_table table)
{
    if (this->is_configured && table.version <= this->current_version) {
        return false;
    }
    this->is_configured = true;
    this->current_version = table.version;
    this->routes_by_host.clear();
    this->services.clear();
    for (auto& row : table.routes) {
        auto& prefixes = this->routes_by_host[to_host_key(row.host)];
        std::string prefix = row.path_prefix;
        prefixes.insert_or_assign(std::move(prefix), std::make_shared<const route>(std::move(row)));
    }
    for (auto& row : table.services) {
        std::string name = row.name;
        this->services.insert_or_assign(std::move(name), std::move(row));
    }
    this->current_organisations =
        table.organisations ? organisation_directory::create(std::move(*table.organisations)) : nullptr;
    return true;
}

const std::shared_ptr<const organisation_directory>& route_directory::organisations() const
{
    return this->current_organisations;
}

bool route_directory::has_configuration() const
{
    return this->is_configured;
}

std::uint64_t route_directory::version() const
{
    return this->current_version;
}

std::shared_ptr<const route> route_directory::find(std::string_view host, std::string_view path) const
{
    const auto prefixes = this->routes_by_host.find(to_host_key(host));
    if (prefixes == this->routes_by_host.end()) {
        return nullptr;
    }
    // Prefixes end with a slash, so each candidate ends at a slash of the path.
    std::string_view candidate = path.substr(0, path.find_first_of("?#"));
    while (true) {
        const auto slash = candidate.rfind('/');
        if (slash == std::string_view::npos) {
            return nullptr;
        }
        candidate = candidate.substr(0, slash + 1);
        const auto found = prefixes->second.find(candidate);
        if (found != prefixes->second.end()) {
            return found->second;
        }
        candidate.remove_suffix(1);
    }
}

std::vector<std::string> route_directory::model_services() const
{
    std::vector<std::string> names;
    for (const auto& [name, service] : this->services) {
        if (service.is_model) {
            names.push_back(name);
        }
    }
    return names;
}

std::set<std::string> route_directory::route_names() const
{
    std::set<std::string> names;
    for (const auto& [host, prefixes] : this->routes_by_host) {
        for (const auto& [prefix, found] : prefixes) {
            names.insert(found->name);
        }
    }
    return names;
}

const service_config* route_directory::find_service(const std::string& name) const
{
    const auto found = this->services.find(name);
    return found == this->services.end() ? nullptr : &found->second;
}

const std::string& choose_service(const route& chosen, std::uint64_t draw)
{
    std::uint64_t total_weight = 0;
    for (const auto& row : chosen.services) {
        total_weight += row.weight;
    }
    std::uint64_t remaining = total_weight == 0 ? 0 : draw % total_weight;
    for (const auto& row : chosen.services) {
        if (remaining < row.weight) {
            return row.service;
        }
        remaining -= row.weight;
    }
    return chosen.services.front().service;
}

} // namespace tanager
