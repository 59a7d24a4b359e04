#include "metrics/metrics_registry.h"
#include "testing/section.h"

#include <cppunit/extensions/HelperMacros.h>

using tanager::testing::section;

namespace tanager {

class metrics_tests : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(metrics_tests);
    CPPUNIT_TEST(renders_metrics_as_prometheus_text);
    CPPUNIT_TEST_SUITE_END();

public:
    void renders_metrics_as_prometheus_text()
    {
        metrics_registry metrics;
        const metric_labels label{"midlands", "swatch\"check"};
        metrics.observe_duration("tanager_first_token_seconds", label, std::chrono::milliseconds{20});
        metrics.observe_duration("tanager_first_token_seconds", label, std::chrono::hours{1});
        metrics.increment_counter("tanager_refusals_total", "code=\"401\"", 3);
        metrics.set_gauge("tanager_ready", 1);
        const std::string text = metrics.render();
        const auto contains = [&](const std::string& part) {
            return text.find(part) != std::string::npos;
        };
        section("histograms are cumulative and labelled by member and class", [&] {
            CPPUNIT_ASSERT(contains("# TYPE tanager_first_token_seconds histogram"));
            CPPUNIT_ASSERT(contains("{member=\"midlands\",class=\"swatch\\\"check\",le=\"+Inf\"} 2\n"));
            CPPUNIT_ASSERT(contains("le=\"100\"} 1\n"));
            CPPUNIT_ASSERT(contains("_count{member=\"midlands\",class=\"swatch\\\"check\"} 2\n"));
        });
        section("counters and gauges are rendered with their labels and values", [&] {
            CPPUNIT_ASSERT(contains("tanager_refusals_total{code=\"401\"} 3\n"));
            CPPUNIT_ASSERT(contains("tanager_ready 1\n"));
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(metrics_tests);

} // namespace tanager
