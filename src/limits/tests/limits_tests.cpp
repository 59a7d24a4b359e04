#include "base/mocks/manual_clock.h"
#include "base/mocks/recording_invariant_monitor.h"
#include "limits/admission_queue.h"
#include "limits/retry_budget.h"
#include "limits/share_limiter.h"
#include "testing/section.h"

#include <cppunit/extensions/HelperMacros.h>
#include <random>

using tanager::testing::section;

namespace tanager {

class limits_tests : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(limits_tests);
    CPPUNIT_TEST(acquire_is_bounded_by_share_and_capacity);
    CPPUNIT_TEST(a_lowered_share_takes_effect_as_attempts_end);
    CPPUNIT_TEST(the_queue_orders_by_priority_and_drops_expired_attempts);
    CPPUNIT_TEST(random_operations_stay_within_shares);
    CPPUNIT_TEST(retries_are_a_fraction_of_requests);
    CPPUNIT_TEST_SUITE_END();

public:
    void acquire_is_bounded_by_share_and_capacity()
    {
        recording_invariant_monitor invariants;
        share_limiter limiter(10, invariants);
        limiter.set_share("midlands", 4);
        limiter.set_share("yesil", 8);
        CPPUNIT_ASSERT(limiter.acquire("midlands", 3));
        section("an attempt that exceeds the rest of its member's share is refused", [&] {
            CPPUNIT_ASSERT(limiter.acquire("midlands", 2).error().code == result_code::agent_share_full);
        });
        section("an attempt larger than its member's share can never run", [&] {
            CPPUNIT_ASSERT(limiter.acquire("midlands", 5).error().code ==
                           result_code::request_too_large_for_pool);
        });
        section("a member without a configured share has a share of zero", [&] {
            CPPUNIT_ASSERT(limiter.acquire("stranger", 1).error().code ==
                           result_code::request_too_large_for_pool);
        });
        section("the capacity of the backend server bounds all members together", [&] {
            CPPUNIT_ASSERT(limiter.acquire("yesil", 7));
            CPPUNIT_ASSERT(limiter.acquire("midlands", 1).error().code == result_code::agent_queue_full);
            limiter.release("yesil", 7);
            CPPUNIT_ASSERT(limiter.acquire("midlands", 1));
        });
        CPPUNIT_ASSERT(invariants.violations.empty());
        section("releasing pieces that were not acquired violates the invariant", [&] {
            limiter.release("yesil", 1);
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, invariants.violations.size());
        });
    }

    void a_lowered_share_takes_effect_as_attempts_end()
    {
        recording_invariant_monitor invariants;
        share_limiter limiter(10, invariants);
        limiter.set_share("midlands", 4);
        CPPUNIT_ASSERT(limiter.acquire("midlands", 4));
        limiter.set_shares({{"midlands", 2, 0}});
        CPPUNIT_ASSERT(!limiter.acquire("midlands", 1));
        limiter.release("midlands", 3);
        CPPUNIT_ASSERT(limiter.acquire("midlands", 1));
        CPPUNIT_ASSERT(!limiter.acquire("midlands", 1));
        CPPUNIT_ASSERT(invariants.violations.empty());
    }

    void the_queue_orders_by_priority_and_drops_expired_attempts()
    {
        recording_invariant_monitor invariants;
        manual_clock time;
        share_limiter limiter(2, invariants);
        limiter.set_share("midlands", 1);
        limiter.set_share("yesil", 2);
        admission_queue queue(limiter, time, {4, 3});
        const auto deadline = time.now() + std::chrono::seconds{1};
        CPPUNIT_ASSERT(queue.enqueue({1, "midlands", 1, 0, deadline}));
        CPPUNIT_ASSERT(queue.enqueue({2, "midlands", 1, 9, deadline}));
        CPPUNIT_ASSERT(queue.enqueue({3, "yesil", 1, 5, deadline}));
        section("higher priority starts first, and a used-up share does not block other members", [&] {
            const auto ready = queue.dequeue_ready();
            CPPUNIT_ASSERT_EQUAL(std::size_t{2}, ready.size());
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, ready[0].ticket);
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, ready[1].ticket);
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, queue.size());
        });
        section("the number of waiting attempts per member is bounded", [&] {
            CPPUNIT_ASSERT(queue.enqueue({4, "midlands", 1, 0, deadline}));
            CPPUNIT_ASSERT(queue.enqueue({5, "midlands", 1, 0, deadline}));
            const auto refused = queue.enqueue({6, "midlands", 1, 0, deadline});
            CPPUNIT_ASSERT(refused.error().code == result_code::agent_queue_full);
            CPPUNIT_ASSERT(queue.enqueue({7, "yesil", 1, 0, deadline}));
        });
        section("a cancelled attempt is removed", [&] {
            CPPUNIT_ASSERT(queue.remove(5));
            CPPUNIT_ASSERT(!queue.remove(5));
        });
        section("attempts past their deadline are dropped, and new ones past it are refused", [&] {
            time.advance(std::chrono::seconds{1});
            CPPUNIT_ASSERT_EQUAL(std::size_t{3}, queue.drop_expired().size());
            CPPUNIT_ASSERT_EQUAL(std::size_t{0}, queue.size());
            const auto refused = queue.enqueue({8, "yesil", 1, 0, deadline});
            CPPUNIT_ASSERT(refused.error().code == result_code::deadline_unreachable);
        });
    }

    void random_operations_stay_within_shares()
    {
        constexpr int steps = 50'000;
        constexpr std::uint64_t seed = 20'261'204;
        std::mt19937_64 random(seed);
        recording_invariant_monitor invariants;
        manual_clock time;
        share_limiter limiter(20, invariants);
        admission_queue queue(limiter, time, {16, 8});
        std::vector<queued_attempt> running;
        std::uint64_t ticket = 0;
        std::size_t refused_attempts = 0;
        for (int step = 0; step < steps; ++step) {
            const std::string member = random() % 2 == 0 ? "midlands" : "yesil";
            switch (random() % 5) {
            case 0:
                limiter.set_share(member, static_cast<std::uint32_t>(random() % 12));
                break;
            case 1:
            case 2: {
                const auto pieces = static_cast<std::uint32_t>(1 + random() % 5);
                const auto deadline = time.now() + std::chrono::milliseconds{random() % 50};
                refused_attempts +=
                    queue.enqueue(
                        {++ticket, member, pieces, static_cast<std::uint32_t>(random() % 3), deadline})
                        ? 0
                        : 1;
                break;
            }
            case 3:
                time.advance(std::chrono::milliseconds{random() % 20});
                queue.drop_expired();
                break;
            default:
                if (!running.empty()) {
                    limiter.release(running.back().member, running.back().pieces);
                    running.pop_back();
                }
            }
            for (const auto& attempt : queue.dequeue_ready()) {
                running.push_back(attempt);
            }
            std::uint32_t sum = 0;
            for (const auto& attempt : running) {
                sum += attempt.pieces;
            }
            CPPUNIT_ASSERT_EQUAL(sum, limiter.used());
            CPPUNIT_ASSERT(limiter.used() <= limiter.capacity());
        }
        CPPUNIT_ASSERT(invariants.violations.empty());
        CPPUNIT_ASSERT_MESSAGE("the run must have refused something", refused_attempts > 100);
    }

    void retries_are_a_fraction_of_requests()
    {
        retry_budget budget(0.1, 5.0);
        int spent = 0;
        for (int request = 0; request < 1'000; ++request) {
            budget.record_request("midlands");
            spent += budget.try_spend("midlands") ? 1 : 0;
        }
        CPPUNIT_ASSERT(spent <= 105);
        CPPUNIT_ASSERT(spent >= 95);
        section("retries of one member do not spend the budget of another",
                [&] { CPPUNIT_ASSERT(budget.try_spend("yesil")); });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(limits_tests);

} // namespace tanager
