#include "organisations/organisation_metrics.h"

#include <string_view>

namespace tanager {

namespace {

std::string_view name_of(request_result outcome)
{
    switch (outcome) {
    case request_result::served:
        return "served";
    case request_result::refused:
        return "refused";
    case request_result::failed:
        return "failed";
    case request_result::left:
        return "left";
    }
    return "unlisted";
}

// Returns the name as a label, or `other` if so many names have been counted already.
std::string to_label(const std::string& name, std::set<std::string>& names, std::size_t max_names)
{
    if (!names.contains(name) && names.size() >= max_names) {
        return "other";
    }
    names.insert(name);
    std::string escaped;
    for (const char character : name) {
        if (character == '"' || character == '\\') {
            escaped += '\\';
        }
        escaped += character == '\n' ? ' ' : character;
    }
    return escaped;
}

} // namespace

organisation_metrics::organisation_metrics(metrics_registry& metrics) : metrics(metrics) {}

void organisation_metrics::record(const std::string& organisation,
                                  const std::string& route,
                                  request_result outcome)
{
    const auto organisation_label = to_label(organisation, this->organisations, max_organisations);
    const auto route_label = to_label(route, this->routes, max_routes);
    this->metrics.increment_counter("tanager_organisation_requests_total",
                                    "organisation=\"" + organisation_label + "\",route=\"" + route_label +
                                        "\",outcome=\"" + std::string{name_of(outcome)} + "\"");
}

} // namespace tanager
