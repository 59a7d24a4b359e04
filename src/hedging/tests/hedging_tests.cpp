#include "base/mocks/manual_clock.h"
#include "base/mocks/seeded_random.h"
#include "hedging/hedge_limiter.h"
#include "testing/section.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <vector>

namespace tanager {

namespace {

using namespace std::chrono_literals;
using testing::section;

const std::string lookup = "lookup";

hedge_situation calm_situation()
{
    hedge_situation calm;
    calm.may_run_again = true;
    calm.total_slots = 18;
    calm.used_slots = 4;
    calm.retry_balance = 4;
    calm.max_retry_balance = 4;
    calm.time_left = 1s;
    return calm;
}

// What a route's callers and servers see in a replay.
struct replay_result {
    std::vector<duration> latencies;
    std::size_t hedges = 0;

    duration quantile(double share_below) const
    {
        auto sorted = this->latencies;
        std::ranges::sort(sorted);
        return sorted[static_cast<std::size_t>(share_below * static_cast<double>(sorted.size() - 1))];
    }
};

// Replays requests of which one in twenty meets a slow server: an answer takes 10 to 20 ms, or 400 ms. A
// second attempt meets a slow server as often.
replay_result replay_slow_twentieth(double max_share, const hedge_situation& situation)
{
    constexpr std::size_t request_count = 4'000;
    constexpr std::uint64_t slow_one_in = 20;
    manual_clock time;
    seeded_random random(1);
    hedge_limiter limiter(time, {max_share, {}});
    replay_result result;
    const auto draw_latency = [&]() -> duration {
        const bool is_slow = random.next() % slow_one_in == 0;
        return is_slow ? duration{400ms} : duration{10ms + std::chrono::milliseconds{random.next() % 10}};
    };
    for (std::size_t index = 0; index < request_count; ++index) {
        time.advance(20ms);
        limiter.record_request(lookup);
        const auto first = draw_latency();
        const auto delay = limiter.applies_to(lookup) ? limiter.delay(lookup) : std::nullopt;
        auto latency = first;
        if (delay && first > *delay && limiter.decide(lookup, situation) == hedge_verdict::hedge) {
            ++result.hedges;
            latency = std::min(first, *delay + draw_latency());
        }
        limiter.record_latency(lookup, latency);
        result.latencies.push_back(latency);
    }
    return result;
}

class hedging_tests : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(hedging_tests);
    CPPUNIT_TEST(cuts_the_slowest_answers_within_the_limit);
    CPPUNIT_TEST(gives_way);
    CPPUNIT_TEST(follows_the_latency_of_each_route);
    CPPUNIT_TEST_SUITE_END();

public:
    void cuts_the_slowest_answers_within_the_limit()
    {
        section("hedging is off: one answer in a hundred takes 400 ms", [] {
            const auto result = replay_slow_twentieth(0, calm_situation());
            CPPUNIT_ASSERT_EQUAL(std::size_t{0}, result.hedges);
            CPPUNIT_ASSERT(result.quantile(0.99) >= 400ms);
        });
        section("a few more than a twentieth may be hedged", [] {
            const auto result = replay_slow_twentieth(0.06, calm_situation());
            section("at most that share is sent twice", [&] {
                CPPUNIT_ASSERT(result.hedges <= 0.06 * static_cast<double>(result.latencies.size()) + 5);
            });
            section("99 of 100 answers are there within a sixth of the time",
                    [&] { CPPUNIT_ASSERT(result.quantile(0.99) <= 60ms); });
            section("the usual answer takes as long as before", [&] {
                CPPUNIT_ASSERT(result.quantile(0.5) ==
                               replay_slow_twentieth(0, calm_situation()).quantile(0.5));
            });
        });
        section("a hundredth may be hedged: the limit holds, though more answers are slow", [] {
            const auto result = replay_slow_twentieth(0.01, calm_situation());
            CPPUNIT_ASSERT(result.hedges <= 0.01 * static_cast<double>(result.latencies.size()) + 5);
        });
        section("all servers turn slow at once: the limit holds", [] {
            manual_clock time;
            hedge_limiter limiter(time, {0.05, {}});
            for (int count = 0; count < 100; ++count) {
                limiter.record_request(lookup);
                limiter.record_latency(lookup, 10ms);
            }
            int hedges = 0;
            for (int count = 0; count < 100; ++count) {
                limiter.record_request(lookup);
                hedges += limiter.decide(lookup, calm_situation()) == hedge_verdict::hedge ? 1 : 0;
            }
            CPPUNIT_ASSERT(hedges <= 10);
        });
    }

    void gives_way()
    {
        manual_clock time;
        hedge_limiter limiter(time, {1, {}});
        limiter.record_request(lookup);
        const auto verdict_when = [&](auto change) {
            auto situation = calm_situation();
            change(situation);
            return limiter.decide(lookup, situation);
        };
        section("to the limit of the route's attempts", [&] {
            CPPUNIT_ASSERT(hedge_verdict::attempts_used ==
                           verdict_when([](auto& situation) { situation.may_run_again = false; }));
        });
        section("to requests that wait for a slot", [&] {
            CPPUNIT_ASSERT(hedge_verdict::work_waiting ==
                           verdict_when([](auto& situation) { situation.is_work_waiting = true; }));
        });
        section("to load: no hedge with most slots in use", [&] {
            CPPUNIT_ASSERT(hedge_verdict::servers_busy ==
                           verdict_when([](auto& situation) { situation.used_slots = 13; }));
        });
        section("to retries: half of their budget is for failed requests", [&] {
            CPPUNIT_ASSERT(hedge_verdict::retries_reserved ==
                           verdict_when([](auto& situation) { situation.retry_balance = 2.9; }));
        });
        section("to the deadline", [&] {
            CPPUNIT_ASSERT(hedge_verdict::too_late == verdict_when([](auto& situation) {
                               situation.usual_latency = 20ms;
                               situation.time_left = 10ms;
                           }));
        });
        section("and none of this counts against the limit", [&] {
            CPPUNIT_ASSERT(hedge_verdict::hedge == verdict_when([](auto& /*situation*/) {}));
            CPPUNIT_ASSERT(hedge_verdict::limit_reached == verdict_when([](auto& /*situation*/) {}));
        });
    }

    void follows_the_latency_of_each_route()
    {
        manual_clock time;
        hedge_limiter limiter(time, {0.05, {lookup, "index"}});
        section("the operators have named the routes", [&] {
            CPPUNIT_ASSERT(limiter.applies_to(lookup));
            CPPUNIT_ASSERT(!limiter.applies_to("order"));
        });
        section("few answers are known: no hedge", [&] {
            limiter.record_latency(lookup, 10ms);
            CPPUNIT_ASSERT(!limiter.delay(lookup));
        });
        section("each route has its own delay", [&] {
            for (int count = 0; count < 100; ++count) {
                limiter.record_latency(lookup, 10ms);
                limiter.record_latency("index", 80ms);
            }
            CPPUNIT_ASSERT(duration{15ms} == limiter.delay(lookup));
            CPPUNIT_ASSERT(duration{120ms} == limiter.delay("index"));
        });
        section("a delay is forgotten when its answers are old", [&] {
            time.advance(31s);
            CPPUNIT_ASSERT(!limiter.delay(lookup));
        });
        section("routes that are no longer configured are dropped", [&] {
            limiter.record_latency(lookup, 10ms);
            limiter.keep_only({"index"});
            CPPUNIT_ASSERT(limiter.usual_latency(lookup) == duration{0});
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(hedging_tests);

} // namespace

} // namespace tanager
