#include "agent/attempt_registry.h"
#include "agent/internal/response_validator.h"
#include "base/mocks/manual_clock.h"
#include "base/mocks/recording_invariant_monitor.h"
#include "testing/section.h"

#include <cppunit/extensions/HelperMacros.h>
#include <map>
#include <random>

using tanager::testing::section;

namespace tanager {

class agent_tests : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(agent_tests);
    CPPUNIT_TEST(attempt_runs_at_most_once);
    CPPUNIT_TEST(attempt_resolved_as_not_run_never_starts);
    CPPUNIT_TEST(expired_attempts_are_not_reported_as_not_run);
    CPPUNIT_TEST(random_event_orders_never_contradict_each_other);
    CPPUNIT_TEST(responses_are_validated_by_format);
    CPPUNIT_TEST_SUITE_END();

public:
    void attempt_runs_at_most_once()
    {
        manual_clock time;
        recording_invariant_monitor invariants;
        attempt_registry registry(time, std::chrono::hours{2}, invariants);
        CPPUNIT_ASSERT(registry.register_attempt({1, 1}));
        CPPUNIT_ASSERT(registry.try_mark_dispatched({1, 1}));
        CPPUNIT_ASSERT(registry.register_attempt({1, 1}).error().code == result_code::attempt_repeated);
        CPPUNIT_ASSERT(!registry.prevent_execution({1, 1}));
        CPPUNIT_ASSERT(invariants.violations.empty());
        section("a second dispatch is prevented and reported as a violation", [&] {
            CPPUNIT_ASSERT(!registry.try_mark_dispatched({1, 1}));
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, invariants.violations.size());
        });
        section("a refusal after the dispatch is reported and does not make the attempt not run", [&] {
            registry.mark_refused({1, 1});
            CPPUNIT_ASSERT_EQUAL(std::size_t{2}, invariants.violations.size());
            CPPUNIT_ASSERT(!registry.prevent_execution({1, 1}));
        });
    }

    void attempt_resolved_as_not_run_never_starts()
    {
        manual_clock time;
        recording_invariant_monitor invariants;
        attempt_registry registry(time, std::chrono::hours{2}, invariants);
        section("the attempt is resolved before it arrives", [&] {
            CPPUNIT_ASSERT(registry.prevent_execution({1, 5}));
            CPPUNIT_ASSERT(registry.register_attempt({1, 5}).error().code == result_code::attempt_cancelled);
        });
        section("the attempt is resolved while it is queued", [&] {
            CPPUNIT_ASSERT(registry.register_attempt({1, 6}));
            CPPUNIT_ASSERT(registry.prevent_execution({1, 6}));
            CPPUNIT_ASSERT(!registry.try_mark_dispatched({1, 6}));
        });
    }

    void expired_attempts_are_not_reported_as_not_run()
    {
        manual_clock time;
        recording_invariant_monitor invariants;
        attempt_registry registry(time, std::chrono::hours{2}, invariants);
        registry.register_attempt({1, 10});
        registry.try_mark_dispatched({1, 10});
        time.advance(std::chrono::hours{3});
        registry.remove_expired();
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, registry.size());
        CPPUNIT_ASSERT(!registry.prevent_execution({1, 10}));
        CPPUNIT_ASSERT(!registry.prevent_execution({1, 9}));
        CPPUNIT_ASSERT(registry.register_attempt({1, 10}).error().code == result_code::attempt_repeated);
        CPPUNIT_ASSERT(registry.prevent_execution({1, 11}));
        CPPUNIT_ASSERT(registry.prevent_execution({2, 1}));
    }

    void random_event_orders_never_contradict_each_other()
    {
        constexpr std::uint64_t seed = 42;
        constexpr int steps = 200'000;
        std::mt19937_64 random(seed);
        manual_clock time;
        recording_invariant_monitor invariants;
        attempt_registry registry(time, std::chrono::minutes{1}, invariants);
        std::map<attempt_id, int> runs;
        std::map<attempt_id, bool> resolved_as_not_run;
        std::vector<attempt_id> admitted;
        std::size_t resolved_count = 0;
        for (int step = 0; step < steps; ++step) {
            const attempt_id attempt{1 + random() % 3,
                                     1 + random() % 40 + static_cast<std::uint64_t>(step) / 500};
            switch (random() % 5) {
            case 0:
            case 1:
                if (registry.register_attempt(attempt)) {
                    admitted.push_back(attempt);
                }
                break;
            case 2:
                if (!admitted.empty()) {
                    const auto next = admitted.back();
                    admitted.pop_back();
                    const bool was_resolved = resolved_as_not_run.contains(next);
                    const bool may_run = registry.try_mark_dispatched(next);
                    CPPUNIT_ASSERT(!(was_resolved && may_run));
                    runs[next] += may_run ? 1 : 0;
                }
                break;
            case 3:
                if (registry.prevent_execution(attempt)) {
                    resolved_as_not_run[attempt] = true;
                    ++resolved_count;
                }
                break;
            default:
                time.advance(std::chrono::milliseconds{random() % 20});
                registry.remove_expired();
            }
        }
        for (const auto& [attempt, count] : runs) {
            CPPUNIT_ASSERT(count <= 1);
            CPPUNIT_ASSERT(count == 0 || !resolved_as_not_run.contains(attempt));
        }
        CPPUNIT_ASSERT(invariants.violations.empty());
        CPPUNIT_ASSERT(runs.size() > 100);
        CPPUNIT_ASSERT(resolved_count > 100);
    }

    void responses_are_validated_by_format()
    {
        section("a JSON response must be complete", [] {
            response_validator check(response_format::json);
            CPPUNIT_ASSERT(check.feed("{\"a\":"));
            CPPUNIT_ASSERT(check.check_complete().error().code == result_code::backend_answer_malformed);
            CPPUNIT_ASSERT(check.feed("1}"));
            CPPUNIT_ASSERT(check.check_complete());
        });
        section("an event stream must end with [DONE] and hold only events", [] {
            response_validator check(response_format::event_stream);
            CPPUNIT_ASSERT(check.feed("data: {}\n\n"));
            CPPUNIT_ASSERT(check.check_complete().error().code == result_code::backend_answer_truncated);
            CPPUNIT_ASSERT(check.feed("garbage\n").error().code == result_code::backend_answer_malformed);
        });
        section("a plain service's response is not validated", [] {
            response_validator check(response_format::opaque);
            CPPUNIT_ASSERT(check.feed("\x01\x02"));
            CPPUNIT_ASSERT(check.check_complete());
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(agent_tests);

} // namespace tanager
