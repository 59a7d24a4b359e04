// A request that crashes each engine that runs it, sent again and again through all entries.
#include "standins/support/expected_completion.h"
#include "testing/section.h"
#include "tests/support/test_cluster.h"

#include <cppunit/extensions/HelperMacros.h>

namespace tanager::testing {

class quarantine_tests : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(quarantine_tests);
    CPPUNIT_TEST(two_engines_crash_at_most);
    CPPUNIT_TEST_SUITE_END();

public:
    void two_engines_crash_at_most()
    {
        const std::vector<std::string> engine{"--crash-on-marker", "--token-microseconds", "10000"};
        const std::vector<std::string> hosts{"m1", "m2", "m3", "m4"};
        test_cluster place;
        std::vector<agent_options> plans;
        plans.reserve(hosts.size());
        for (const auto& host : hosts) {
            plans.push_back({host, "helper", engine});
        }
        place.start_agents(plans);
        place.start_entry("e1");
        place.start_entry("e2");
        std::vector<std::shared_ptr<async_response>> innocent;
        for (int i = 0; i < 24; ++i) {
            const auto request =
                make_completion_request(midlands_key, "swatch", "innocent " + std::to_string(i), 30, false);
            innocent.push_back(place.caller.start(place.entry_address(i % 2 == 0 ? "e1" : "e2"), request));
        }
        place.caller.poll_until(place.entry_address("e1"), "/metrics", [](const http_response& page) {
            return metric_value(page, "tanager_requests_open") == 12;
        });
        const auto culprit = make_completion_request(midlands_key, "swatch", "CRASH-ENGINE now", 5, false);
        section("the first time, it is tried again alone, and then no more", [&] {
            const auto reply = place.caller.fetch(place.entry_address("e1"), culprit);
            CPPUNIT_ASSERT_EQUAL(std::string{"508"}, find_header(reply.headers, "Tanager-Code"));
            CPPUNIT_ASSERT_EQUAL(std::string{"unknown"}, find_header(reply.headers, "Tanager-Outcome"));
        });
        section("every resend is refused as not run", [&] {
            for (int i = 0; i < 20; ++i) {
                const auto reply = place.caller.fetch(place.entry_address(i % 2 == 0 ? "e1" : "e2"), culprit);
                CPPUNIT_ASSERT_EQUAL(std::string{"801"}, find_header(reply.headers, "Tanager-Code"));
                CPPUNIT_ASSERT_EQUAL(std::string{"not-run"}, find_header(reply.headers, "Tanager-Outcome"));
            }
        });
        section("two engines are gone, and two still serve", [&] {
            std::size_t crashes = 0;
            for (const auto& host : hosts) {
                crashes += place.agent(host).has_line("backend_crashed") ? 1 : 0;
            }
            CPPUNIT_ASSERT_EQUAL(std::size_t{2}, crashes);
        });
        section("those that ran beside it are answered", [&] {
            for (int i = 0; i < 24; ++i) {
                const auto& answer = innocent.at(static_cast<std::size_t>(i));
                place.caller.run_until([&] { return answer->is_settled(); });
                CPPUNIT_ASSERT(answer->reply.has_value());
                CPPUNIT_ASSERT_EQUAL_MESSAGE(answer->reply->body, 200, answer->reply->status);
                CPPUNIT_ASSERT_EQUAL(standin::expected_completion("innocent " + std::to_string(i), 30),
                                     completion_text(*answer->reply));
            }
        });
        place.check_invariants();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(quarantine_tests);

} // namespace tanager::testing
