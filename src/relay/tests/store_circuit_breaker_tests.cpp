// Tests which feed may call a store that does not answer, and what its answers and failures say of the
// others.
#include "base/mocks/manual_clock.h"
#include "base/mocks/seeded_random.h"
#include "relay/store_circuit_breaker.h"
#include "testing/section.h"

#include <cppunit/extensions/HelperMacros.h>

namespace tanager {

namespace {

using namespace std::chrono_literals;
using testing::section;
using urgency = store_circuit_breaker::urgency;
using waiting_calls = std::vector<store_circuit_breaker::waiting_call>;

class store_circuit_breaker_tests : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(store_circuit_breaker_tests);
    CPPUNIT_TEST(opens_after_two_failures_in_a_row);
    CPPUNIT_TEST(takes_a_feed_that_fails_by_itself_for_what_it_is);
    CPPUNIT_TEST(lets_feeds_take_turns);
    CPPUNIT_TEST(does_not_wait_for_a_probe_without_end);
    CPPUNIT_TEST_SUITE_END();

public:
    void opens_after_two_failures_in_a_row()
    {
        section("the calls of two feeds fail", [this] {
            this->fail("a/");
            CPPUNIT_ASSERT(!this->breaker.is_open());
            this->fail("b/");
            CPPUNIT_ASSERT(this->breaker.is_open());
            section("an answer to a third closes the circuit for all", [this] {
                this->answer("c/");
                CPPUNIT_ASSERT(!this->breaker.is_open());
            });
        });
        section("both calls of one feed fail, and no other feed is called", [this] {
            this->answer("a/");
            this->fail("a/");
            this->fail("a/");
            CPPUNIT_ASSERT(this->breaker.is_open());
        });
    }

    // Load pattern: the calls of one feed fail for as long as their cause lasts, and the store answers the
    // others.
    void takes_a_feed_that_fails_by_itself_for_what_it_is()
    {
        section("a feed fails again and again, and another is answered in between", [this] {
            for (int round = 0; round < 50; ++round) {
                this->fail("a/");
                CPPUNIT_ASSERT(!this->breaker.is_open());
                this->answer("b/");
            }
        });
        section("the store goes away: the failures of the other feed count as ever", [this] {
            this->fail("a/");
            this->fail("b/");
            this->fail("b/");
            CPPUNIT_ASSERT(this->breaker.is_open());
        });
    }

    void lets_feeds_take_turns()
    {
        this->open();
        const waiting_calls waiting{
            {"a/", urgency::urgent}, {"b/", urgency::urgent}, {"c/", urgency::relaxed}};
        section("three feeds wait, and every probe fails", [&] {
            std::string turns;
            for (int probe = 0; probe < 6; ++probe) {
                turns += this->probe(waiting).front();
                this->time.advance(600ms);
            }
            section("each makes every third one, a relaxed one as well",
                    [&] { CPPUNIT_ASSERT_EQUAL(std::string{"abcabc"}, turns); });
        });
        section("a read that is needed for the start waits, too: probes are due sooner, and go round", [&] {
            auto with_read = waiting;
            with_read.insert(with_read.begin(), {"d/", urgency::starting});
            std::string turns;
            for (int probe = 0; probe < 8; ++probe) {
                this->time.advance(200ms);
                turns += this->probe(with_read).front();
            }
            CPPUNIT_ASSERT_EQUAL(std::string{"dabcdabc"}, turns);
        });
        section("no probe is due before its time, whoever's turn it is", [&] {
            this->time.advance(600ms);
            this->probe(waiting);
            this->time.advance(299ms);
            CPPUNIT_ASSERT(!this->breaker.choose_probe(waiting));
            CPPUNIT_ASSERT(!this->breaker.choose_probe({{"c/", urgency::relaxed}}));
        });
        section("a feed that waits alone has every turn", [&] {
            this->time.advance(600ms);
            CPPUNIT_ASSERT_EQUAL(std::string{"a/"}, this->probe({{"a/", urgency::urgent}}));
            this->time.advance(600ms);
            CPPUNIT_ASSERT_EQUAL(std::string{"a/"}, this->probe({{"a/", urgency::urgent}}));
        });
    }

    void does_not_wait_for_a_probe_without_end()
    {
        this->open();
        const waiting_calls waiting{{"a/", urgency::urgent}, {"b/", urgency::urgent}};
        section("the answer to a probe comes in slowly", [&] {
            const auto slow = this->breaker.begin_call("a/");
            CPPUNIT_ASSERT(slow.is_probe());
            section("no other one is made meanwhile", [&] {
                this->time.advance(999ms);
                CPPUNIT_ASSERT(!this->breaker.choose_probe(waiting));
            });
            section("for longer than a second", [&] {
                this->time.advance(1ms);
                CPPUNIT_ASSERT(this->breaker.choose_probe(waiting) == std::size_t{1});
            });
            section("its failure does not end the next one", [&] {
                const auto next = this->breaker.begin_call("b/");
                this->breaker.record_failure(slow);
                this->time.advance(10ms);
                CPPUNIT_ASSERT(!this->breaker.choose_probe(waiting));
                this->breaker.record_answer(next);
                CPPUNIT_ASSERT(!this->breaker.is_open());
            });
        });
    }

private:
    void fail(const std::string& feed)
    {
        this->breaker.record_failure(this->breaker.begin_call(feed));
    }

    void answer(const std::string& feed)
    {
        this->breaker.record_answer(this->breaker.begin_call(feed));
    }

    void open()
    {
        this->fail("x/");
        this->fail("x/");
        CPPUNIT_ASSERT(this->breaker.is_open());
    }

    // Makes the probe that is due, which fails, and returns its feed.
    std::string probe(const waiting_calls& waiting)
    {
        const auto chosen = this->breaker.choose_probe(waiting);
        CPPUNIT_ASSERT(chosen.has_value());
        this->fail(waiting.at(*chosen).feed);
        return waiting.at(*chosen).feed;
    }

    manual_clock time;
    seeded_random random{1};
    store_circuit_breaker breaker{time, random};
};

CPPUNIT_TEST_SUITE_REGISTRATION(store_circuit_breaker_tests);

} // namespace

} // namespace tanager
