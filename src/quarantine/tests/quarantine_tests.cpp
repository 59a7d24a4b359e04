#include "base/mocks/manual_clock.h"
#include "base/mocks/recording_invariant_monitor.h"
#include "limits/admission_queue.h"
#include "quarantine/crash_confirmations.h"
#include "quarantine/crash_history.h"
#include "testing/section.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <random>

using tanager::testing::section;

namespace tanager {

namespace {

constexpr std::chrono::minutes retention{10};

} // namespace

class quarantine_tests : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(quarantine_tests);
    CPPUNIT_TEST(two_crashes_quarantine_a_request);
    CPPUNIT_TEST(a_request_that_finishes_alone_is_cleared);
    CPPUNIT_TEST(a_suspect_runs_alone);
    CPPUNIT_TEST(a_crash_report_waits_for_every_entry);
    CPPUNIT_TEST(a_crashing_request_crashes_at_most_two_servers);
    CPPUNIT_TEST_SUITE_END();

public:
    void two_crashes_quarantine_a_request()
    {
        manual_clock time;
        crash_history history(time, retention);
        CPPUNIT_ASSERT(history.verdict_of(7) == quarantine_verdict::clean);
        CPPUNIT_ASSERT(history.record({1, 7}));
        CPPUNIT_ASSERT(history.verdict_of(7) == quarantine_verdict::suspect);
        section("a crash that is reported twice counts once", [&] {
            CPPUNIT_ASSERT(!history.record({1, 7}));
            CPPUNIT_ASSERT(history.verdict_of(7) == quarantine_verdict::suspect);
        });
        CPPUNIT_ASSERT(history.record({2, 7}));
        CPPUNIT_ASSERT(history.verdict_of(7) == quarantine_verdict::quarantined);
        CPPUNIT_ASSERT(history.verdict_of(8) == quarantine_verdict::clean);
        section("the quarantine ends after the retention period", [&] {
            time.advance(retention + std::chrono::seconds{1});
            CPPUNIT_ASSERT(history.verdict_of(7) == quarantine_verdict::clean);
            history.remove_expired();
            CPPUNIT_ASSERT(history.recent().empty());
        });
    }

    void a_request_that_finishes_alone_is_cleared()
    {
        manual_clock time;
        crash_history history(time, retention);
        history.record({1, 7});
        history.record({1, 8});
        history.clear_request(8);
        CPPUNIT_ASSERT(history.verdict_of(7) == quarantine_verdict::suspect);
        CPPUNIT_ASSERT(history.verdict_of(8) == quarantine_verdict::clean);
        section("a repeated report of the same crash does not undo the clearing", [&] {
            history.record({1, 8});
            CPPUNIT_ASSERT(history.verdict_of(8) == quarantine_verdict::clean);
        });
    }

    void a_crash_report_waits_for_every_entry()
    {
        constexpr std::chrono::milliseconds timeout{300};
        manual_clock time;
        crash_confirmations confirmations(time, timeout);
        int confirmed_count = 0;
        const auto count_confirmed = [&] {
            ++confirmed_count;
        };
        section("the report waits while one of two entries has not confirmed", [&] {
            confirmations.await_confirmations({1, 7}, {1, 2}, count_confirmed);
            confirmations.confirm(1, {1, 7});
            CPPUNIT_ASSERT_EQUAL(0, confirmed_count);
            section("a confirmation for another request does not count", [&] {
                confirmations.confirm(2, {1, 8});
            });
            CPPUNIT_ASSERT_EQUAL(0, confirmed_count);
            section("the last confirmation completes the report, and a repeated one has no effect", [&] {
                confirmations.confirm(2, {1, 7});
                confirmations.confirm(2, {1, 7});
                CPPUNIT_ASSERT_EQUAL(1, confirmed_count);
            });
        });
        section("an entry that has disconnected is not waited for", [&] {
            confirmations.await_confirmations({2, 7}, {1, 2}, count_confirmed);
            confirmations.confirm(1, {2, 7});
            confirmations.drop_entry(2);
            CPPUNIT_ASSERT_EQUAL(2, confirmed_count);
        });
        section("an entry that does not confirm within the timeout is not waited for", [&] {
            confirmations.await_confirmations({3, 7}, {1}, count_confirmed);
            time.advance(timeout - std::chrono::milliseconds{1});
            confirmations.expire();
            CPPUNIT_ASSERT_EQUAL(2, confirmed_count);
            time.advance(std::chrono::milliseconds{1});
            confirmations.expire();
            CPPUNIT_ASSERT_EQUAL(3, confirmed_count);
        });
        section("without entries the report completes at once", [&] {
            confirmations.await_confirmations({4, 7}, {}, count_confirmed);
            CPPUNIT_ASSERT_EQUAL(4, confirmed_count);
            CPPUNIT_ASSERT_EQUAL(std::size_t{0}, confirmations.waiting());
        });
    }

    void a_suspect_runs_alone()
    {
        recording_invariant_monitor invariants;
        manual_clock time;
        share_limiter limiter(10, invariants);
        limiter.set_share("m", 10);
        admission_queue queue(limiter, time, {});
        const auto deadline = time.now() + std::chrono::hours{1};
        queue.enqueue({1, "m", 1, 0, deadline, false});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, queue.dequeue_ready().size());
        queue.enqueue({2, "m", 1, 0, deadline, true});
        queue.enqueue({3, "m", 1, 0, deadline, false});
        section("the suspect waits for running requests, and later requests wait for the suspect",
                [&] { CPPUNIT_ASSERT(queue.dequeue_ready().empty()); });
        limiter.release("m", 1);
        section("the suspect then runs, and nothing else runs at the same time", [&] {
            const auto ready = queue.dequeue_ready();
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ready.size());
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, ready.front().ticket);
            CPPUNIT_ASSERT(queue.dequeue_ready().empty());
        });
        limiter.release("m", 1);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, queue.dequeue_ready().size());
        CPPUNIT_ASSERT(invariants.violations.empty());
    }

    // One request that crashes every engine it runs on is resent again and again among other requests. Guards
    // against more than two crashes by it, and against quarantining the others.
    void a_crashing_request_crashes_at_most_two_servers()
    {
        constexpr int rounds = 2'000;
        constexpr std::uint64_t crashing_request = 1'000;
        std::mt19937_64 random(5);
        for (int round = 0; round < rounds; ++round) {
            manual_clock time;
            crash_history history(time, retention);
            std::uint64_t crashes = 0;
            for (int step = 0; step < 30; ++step) {
                std::vector<std::uint64_t> batch{random() % 3 == 0 ? crashing_request : random() % 20};
                const bool alone = history.verdict_of(batch.front()) == quarantine_verdict::suspect;
                while (!alone && batch.size() < 1 + random() % 5) {
                    batch.push_back(random() % 20);
                }
                std::erase_if(batch, [&](auto fingerprint) {
                    const auto verdict = history.verdict_of(fingerprint);
                    return verdict == quarantine_verdict::quarantined ||
                           (verdict == quarantine_verdict::suspect && !alone);
                });
                if (std::ranges::find(batch, crashing_request) != batch.end()) {
                    ++crashes;
                    for (const auto fingerprint : batch) {
                        history.record({crashes, fingerprint});
                    }
                } else if (alone && !batch.empty()) {
                    history.clear_request(batch.front());
                }
            }
            CPPUNIT_ASSERT(crashes <= 2);
            for (std::uint64_t other_request = 0; other_request < 20; ++other_request) {
                CPPUNIT_ASSERT(history.verdict_of(other_request) != quarantine_verdict::quarantined);
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(quarantine_tests);

} // namespace tanager
