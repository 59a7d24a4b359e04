#include "metrics/metrics_registry.h"
#include "testing/section.h"

#include <cppunit/extensions/HelperMacros.h>

using tanager::testing::section;

namespace tanager {

class metrics_tests : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(metrics_tests);
    CPPUNIT_TEST(samples_are_rendered);
    CPPUNIT_TEST_SUITE_END();

public:
    void samples_are_rendered()
    {
        metrics_registry metrics;
        const metric_labels label{"midlands", "swatch\"check"};
        metrics.observe_duration("tanager_first_token_seconds", label, std::chrono::milliseconds{20});
        metrics.observe_duration("tanager_first_token_seconds", label, std::chrono::hours{1});
        metrics.increment_counter("tanager_refusals_total", "code=\"401\"", 3);
        metrics.set_gauge("tanager_ready", 1);
        const std::string text = metrics.render();
        const auto holds = [&](const std::string& part) {
            return text.find(part) != std::string::npos;
        };
        section("histograms are cumulative and labelled by member and class", [&] {
            CPPUNIT_ASSERT(holds("# TYPE tanager_first_token_seconds histogram"));
            CPPUNIT_ASSERT(holds("{member=\"midlands\",class=\"swatch\\\"check\",le=\"+Inf\"} 2\n"));
            CPPUNIT_ASSERT(holds("le=\"100\"} 1\n"));
            CPPUNIT_ASSERT(holds("_count{member=\"midlands\",class=\"swatch\\\"check\"} 2\n"));
        });
        section("counters and gauges follow", [&] {
            CPPUNIT_ASSERT(holds("tanager_refusals_total{code=\"401\"} 3\n"));
            CPPUNIT_ASSERT(holds("tanager_ready 1\n"));
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(metrics_tests);

} // namespace tanager
