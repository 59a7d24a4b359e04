#include "agent_selection/agent_choice.h"
#include "base/system_random.h"
#include "testing/section.h"

#include <cppunit/extensions/HelperMacros.h>
#include <map>

using tanager::testing::section;

namespace tanager {

namespace {

std::vector<agent_candidate> make_pool(int size)
{
    std::vector<agent_candidate> pool;
    pool.reserve(static_cast<std::size_t>(size));
    for (int i = 0; i < size; ++i) {
        pool.push_back({"host-" + std::to_string(i), true, true, 10, 10, 10, 0});
    }
    return pool;
}

} // namespace

class agent_selection_tests : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(agent_selection_tests);
    CPPUNIT_TEST(requests_with_the_same_prefix_go_to_the_same_agent);
    CPPUNIT_TEST(requests_without_a_prefix_are_spread_evenly);
    CPPUNIT_TEST(agents_that_take_no_work_are_not_chosen);
    CPPUNIT_TEST(a_pool_without_free_capacity_queues_requests);
    CPPUNIT_TEST_SUITE_END();

public:
    void requests_with_the_same_prefix_go_to_the_same_agent()
    {
        system_random random(1);
        auto pool = make_pool(11);
        const agent_selection_request request{42, 1};
        const auto preferred_host = choose_agent(request, pool, {}, random).value();
        for (int i = 0; i < 100; ++i) {
            CPPUNIT_ASSERT_EQUAL(preferred_host, choose_agent(request, pool, {}, random).value());
        }
        section("the prefix keeps its agent when other agents are removed", [&] {
            std::erase_if(pool, [&](const auto& candidate) {
                return candidate.host != preferred_host && candidate.host < "host-3";
            });
            CPPUNIT_ASSERT_EQUAL(preferred_host, choose_agent(request, pool, {}, random).value());
        });
        section("the prefix moves to another agent when its own has a long queue", [&] {
            for (auto& candidate : pool) {
                candidate.queued_requests = candidate.host == preferred_host ? 9 : 0;
            }
            CPPUNIT_ASSERT(preferred_host != choose_agent(request, pool, {}, random).value());
        });
    }

    void requests_without_a_prefix_are_spread_evenly()
    {
        system_random random(2);
        auto pool = make_pool(10);
        for (int i = 0; i < 1'000; ++i) {
            const auto chosen = choose_agent({0, 1}, pool, {}, random).value();
            for (auto& candidate : pool) {
                candidate.queued_requests += candidate.host == chosen ? 1 : 0;
            }
        }
        for (const auto& candidate : pool) {
            CPPUNIT_ASSERT(candidate.queued_requests > 90 && candidate.queued_requests < 110);
        }
    }

    void agents_that_take_no_work_are_not_chosen()
    {
        system_random random(3);
        auto pool = make_pool(5);
        for (auto& candidate : pool) {
            candidate.takes_work = candidate.host == "host-4";
        }
        for (int i = 0; i < 200; ++i) {
            CPPUNIT_ASSERT_EQUAL(std::string{"host-4"},
                                 choose_agent({random.next(), 1}, pool, {}, random).value());
        }
        section("an agent that has refused this request is not chosen again", [&] {
            const auto rejected = choose_agent({7, 1}, pool, {"host-4"}, random);
            CPPUNIT_ASSERT(rejected.error().code == result_code::no_agent_available);
        });
    }

    void a_pool_without_free_capacity_queues_requests()
    {
        system_random random(4);
        auto pool = make_pool(3);
        for (auto& candidate : pool) {
            candidate.free_pieces = 0;
            candidate.queued_requests = 5;
        }
        pool[1].queued_requests = 2;
        CPPUNIT_ASSERT_EQUAL(std::string{"host-1"}, choose_agent({0, 1}, pool, {}, random).value());
        section("a request larger than every share is rejected as too large for the pool", [&] {
            const auto rejected = choose_agent({0, 11}, pool, {}, random);
            CPPUNIT_ASSERT(rejected.error().code == result_code::request_too_large_for_pool);
        });
        section("no agent is available in an empty pool", [&] {
            CPPUNIT_ASSERT(choose_agent({0, 1}, {}, {}, random).error().code ==
                           result_code::no_agent_available);
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(agent_selection_tests);

} // namespace tanager
