// Counts the requests of each organisation.
#pragma once

#include "metrics/metrics_registry.h"

#include <set>
#include <string>

namespace tanager {

enum class request_result {
    served,
    refused, // not run
    failed,
    left // the caller went away
};

// Load pattern: a few of some hundred organisations send most requests. The first ones that send any are
// counted by name, up to a bound, and the rest together as `other`, so that neither the number of
// organisations nor that of routes lets the metrics grow without end.
class organisation_metrics {
public:
    static constexpr std::size_t max_organisations = 100;
    static constexpr std::size_t max_routes = 8;

    explicit organisation_metrics(metrics_registry& metrics);

    void record(const std::string& organisation, const std::string& route, request_result outcome);

private:
    metrics_registry& metrics;
    std::set<std::string> organisations;
    std::set<std::string> routes;
};

} // namespace tanager
