#include "base/mocks/manual_clock.h"
#include "testing/section.h"
#include "uplink/sending_plan.h"
#include "uplink/uplink.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <deque>

namespace tanager {

using namespace std::chrono_literals;
using testing::section;

class uplink_tests : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(uplink_tests);
    CPPUNIT_TEST(estimates_queueing_and_transmission_time);
    CPPUNIT_TEST(an_unlimited_link_has_no_delay);
    CPPUNIT_TEST(plans_what_a_link_carries);
    CPPUNIT_TEST(keeps_a_slow_link_short_at_a_peak);
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

    void plans_what_a_link_carries()
    {
        constexpr link_demand prompt{prompt_bytes, 0, 400ms, 160ms};
        constexpr link_demand chat{700, 0, 100ms, 40ms};
        section("an unlimited or fast link carries all at once, and twice", [&] {
            for (const double megabits : {0.0, 1'000.0}) {
                manual_clock time;
                uplink_queue_model link(time, megabits);
                link.record_sent(10 * prompt_bytes);
                const sending_plan plan(link);
                CPPUNIT_ASSERT(plan.may_send_now(prompt) && plan.may_send_twice(prompt));
                CPPUNIT_ASSERT(plan.can_carry_in_time({prompt_bytes, 500'000, 400ms, 160ms}));
            }
        });
        manual_clock time;
        uplink_queue_model link(time, slow_megabits);
        const sending_plan plan(link);
        section("an idle slow link carries a short prompt twice, and a long one once", [&] {
            CPPUNIT_ASSERT(plan.may_send_twice(prompt));
            CPPUNIT_ASSERT(!plan.may_send_twice({5 * prompt_bytes, 0, 400ms, 160ms}));
        });
        section("behind a queue, prompts wait and are sent once; short requests do not wait", [&] {
            link.record_sent(7 * prompt_bytes);
            CPPUNIT_ASSERT(!plan.may_send_now(prompt) && !plan.may_send_twice(prompt));
            CPPUNIT_ASSERT(plan.may_send_now(chat));
            section("a prompt that would start late is refused at once", [&] {
                CPPUNIT_ASSERT(plan.can_carry_in_time({prompt_bytes, 12 * prompt_bytes, 400ms, 160ms}));
                CPPUNIT_ASSERT(!plan.can_carry_in_time({prompt_bytes, 13 * prompt_bytes, 400ms, 160ms}));
                CPPUNIT_ASSERT(plan.can_carry_in_time({chat.request_bytes, 13 * prompt_bytes, 100ms, 40ms}));
            });
            section("the wait that peers are told covers the queues of the kernel and of the gateway", [&] {
                CPPUNIT_ASSERT(plan.expected_wait(prompt_bytes) > 65ms);
                CPPUNIT_ASSERT(plan.expected_wait(prompt_bytes) < 70ms);
            });
        });
    }

    // Load: four seconds with 1.2 times the prompts that a link of 10 Mbit/s carries, and eight short
    // requests a second whose objective is a quarter of the prompts'.
    void keeps_a_slow_link_short_at_a_peak()
    {
        const auto planned = play_peak(true);
        section("requests start within the part of their objective that they may wait", [&] {
            CPPUNIT_ASSERT(planned.longest_chat_wait <= 60ms);
            CPPUNIT_ASSERT(planned.longest_prompt_wait <= 170ms);
        });
        section("the link is used fully, so that only the excess is refused", [&] {
            // 476 prompts fit into the four seconds, and 572 arrive.
            CPPUNIT_ASSERT(planned.prompts_sent >= 470);
            CPPUNIT_ASSERT(planned.refused <= 572 - 476);
        });
        section("passed on at once and twice, the same requests end up a second behind", [&] {
            const auto unplanned = play_peak(false);
            CPPUNIT_ASSERT(unplanned.longest_chat_wait > 1s);
            CPPUNIT_ASSERT(unplanned.longest_prompt_wait > 1s);
        });
    }

private:
    static constexpr std::size_t prompt_bytes = 10'000;
    static constexpr double slow_megabits = 10;

    struct peak_result {
        duration longest_chat_wait{0};
        duration longest_prompt_wait{0};
        int prompts_sent = 0;
        int refused = 0;
    };

    static peak_result play_peak(bool is_planned)
    {
        constexpr std::size_t chat_bytes = 700;
        manual_clock time;
        uplink_queue_model link(time, slow_megabits);
        const sending_plan plan(link);
        std::deque<time_point> waiting;
        peak_result seen;
        const auto send_prompt = [&](time_point arrival) {
            const auto wait = time.now() - arrival + link.estimate_send_delay(0).queued;
            seen.longest_prompt_wait = std::max(seen.longest_prompt_wait, wait);
            link.record_sent(prompt_bytes);
            ++seen.prompts_sent;
        };
        for (int millisecond = 0; millisecond < 4'000; ++millisecond) {
            const auto now = time.now();
            if (millisecond % 125 == 0) {
                const auto wait = link.estimate_send_delay(0).queued;
                seen.longest_chat_wait = std::max(seen.longest_chat_wait, wait);
                link.record_sent(chat_bytes);
            }
            if (millisecond % 7 == 0 && is_planned) {
                const std::size_t bytes_ahead = waiting.size() * prompt_bytes;
                if (plan.can_carry_in_time({prompt_bytes, bytes_ahead, 400ms, 160ms})) {
                    waiting.push_back(now);
                } else {
                    ++seen.refused;
                }
            } else if (millisecond % 7 == 0) {
                send_prompt(now);
                link.record_sent(prompt_bytes);
            }
            while (!waiting.empty() && plan.may_send_now({prompt_bytes, 0, 400ms, 160ms})) {
                send_prompt(waiting.front());
                waiting.pop_front();
            }
            time.advance(1ms);
        }
        return seen;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(uplink_tests);

} // namespace tanager
