// Counters, gauges and latency histograms of one process, rendered as Prometheus text.
#pragma once

#include "base/clock.h"
#include "metrics/types/metric_labels.h"

#include <boost/histogram.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace tanager {

// Not thread-safe: used only on the event loop's thread.
class metrics_registry {
public:
    // Adds a duration to the series of a histogram for one member and work class. Rendered in seconds.
    void observe_duration(std::string_view histogram, const metric_labels& label, duration value);

    // Adds to a counter. `series` holds the labels as rendered, without braces and already escaped, e.g.
    // `code="401"`.
    void
    increment_counter(std::string_view counter, const std::string& series = {}, std::uint64_t amount = 1);

    // Sets a gauge; `series` as for counters.
    void set_gauge(std::string_view gauge, double value, const std::string& series = {});

    std::uint64_t counter_value(std::string_view counter, const std::string& series = {}) const;

    // Returns all metrics in the Prometheus text exposition format 0.0.4.
    std::string render() const;

private:
    using seconds_axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using latency_histogram = decltype(boost::histogram::make_histogram(std::declval<seconds_axis>()));

    struct latency_series {
        latency_histogram buckets;
        double sum_seconds = 0;
    };

    struct series_key {
        std::string name;
        std::string labels;

        friend auto operator<=>(const series_key&, const series_key&) = default;
    };

    static latency_series make_series();
    static void render_series(std::string& text,
                              const std::string& name,
                              const metric_labels& label,
                              const latency_series& series);

    std::map<std::string, std::map<metric_labels, latency_series>, std::less<>> histograms;
    std::map<series_key, std::uint64_t> counters;
    std::map<series_key, double> gauges;
};

} // namespace tanager
