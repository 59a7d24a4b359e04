#include "base/mocks/manual_clock.h"
#include "testing/section.h"
#include "uplink/uplink.h"

#include <cppunit/extensions/HelperMacros.h>

namespace tanager {

using namespace std::chrono_literals;
using testing::section;

class uplink_tests : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(uplink_tests);
    CPPUNIT_TEST(estimates_queueing_and_transmission_time);
    CPPUNIT_TEST(an_unlimited_link_has_no_delay);
    CPPUNIT_TEST_SUITE_END();

public:
    void estimates_queueing_and_transmission_time()
    {
        constexpr double megabits = 10;
        constexpr std::size_t prompt_bytes = 10'000;
        manual_clock time;
        uplink_queue_model link(time, megabits);
        section("on an idle link a prompt has no queueing delay", [&] {
            const auto idle = link.estimate_send_delay(prompt_bytes);
            CPPUNIT_ASSERT(idle.queued == duration{0});
            CPPUNIT_ASSERT(idle.own >= 8ms && idle.own < 9ms);
        });
        section("ten prompts in a burst are sent one after the other", [&] {
            const auto transmission_time = link.estimate_send_delay(prompt_bytes).own;
            for (int count = 0; count < 10; ++count) {
                link.record_sent(prompt_bytes);
            }
            CPPUNIT_ASSERT(link.estimate_send_delay(prompt_bytes).queued == 10 * transmission_time);
            section("the queue drains at the rate of the link", [&] {
                time.advance(4 * transmission_time);
                CPPUNIT_ASSERT(link.estimate_send_delay(0).queued == 6 * transmission_time);
                time.advance(20 * transmission_time);
                CPPUNIT_ASSERT(link.estimate_send_delay(0).queued == duration{0});
            });
        });
        section("idle time does not shorten later delays", [&] {
            time.advance(10s);
            link.record_sent(prompt_bytes);
            CPPUNIT_ASSERT(link.estimate_send_delay(0).queued > duration{0});
        });
    }

    void an_unlimited_link_has_no_delay()
    {
        manual_clock time;
        uplink_queue_model link(time, 0);
        link.record_sent(1'000'000'000);
        CPPUNIT_ASSERT(link.estimate_send_delay(1'000'000).total() == duration{0});
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(uplink_tests);

} // namespace tanager
