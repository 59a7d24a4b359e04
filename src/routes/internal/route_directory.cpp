#include "routes/route_directory.h"

#include <algorithm>
#include <cctype>

namespace tanager {

namespace {

std::string to_host_key(std::string_view host)
{
    std::string key{host.substr(0, host.find(':'))};
    std::ranges::transform(key, key.begin(), [](unsigned char letter) { return std::tolower(letter); });
    return key;
}

} // namespace

bool route_directory::apply(route_table table)
{
    if (this->known && table.version <= this->current_version) {
        return false;
    }
    this->known = true;
    this->current_version = table.version;
    this->by_host.clear();
    this->services.clear();
    for (auto& row : table.routes) {
        auto& prefixes = this->by_host[to_host_key(row.host)];
        std::string prefix = row.path_prefix;
        prefixes.insert_or_assign(std::move(prefix), std::make_shared<const route>(std::move(row)));
    }
    for (auto& row : table.services) {
        std::string name = row.name;
        this->services.insert_or_assign(std::move(name), std::move(row));
    }
    return true;
}

bool route_directory::has_configuration() const
{
    return this->known;
}

std::uint64_t route_directory::version() const
{
    return this->current_version;
}

std::shared_ptr<const route> route_directory::find(std::string_view host, std::string_view path) const
{
    const auto prefixes = this->by_host.find(to_host_key(host));
    if (prefixes == this->by_host.end()) {
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
    for (const auto& [name, entry] : this->services) {
        if (entry.is_model) {
            names.push_back(name);
        }
    }
    return names;
}

std::set<std::string> route_directory::route_names() const
{
    std::set<std::string> names;
    for (const auto& [host, prefixes] : this->by_host) {
        for (const auto& [prefix, chosen] : prefixes) {
            names.insert(chosen->name);
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
    std::uint64_t total = 0;
    for (const auto& row : chosen.services) {
        total += row.weight;
    }
    std::uint64_t point = total == 0 ? 0 : draw % total;
    for (const auto& row : chosen.services) {
        if (point < row.weight) {
            return row.service;
        }
        point -= row.weight;
    }
    return chosen.services.front().service;
}

} // namespace tanager
