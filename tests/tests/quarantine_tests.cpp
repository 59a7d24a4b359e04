// A request that crashes each engine that runs it, resent repeatedly through all entries.
#include "standins/support/expected_completion.h"
#include "testing/section.h"
#include "tests/support/test_cluster.h"

#include <cppunit/extensions/HelperMacros.h>

namespace tanager::testing {

class quarantine_tests : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(quarantine_tests);
    CPPUNIT_TEST(a_crashing_request_takes_down_at_most_two_engines);
    CPPUNIT_TEST_SUITE_END();

public:
    void a_crashing_request_takes_down_at_most_two_engines()
    {
        const std::vector<std::string> engine_arguments{"--crash-on-marker", "--token-microseconds", "10000"};
        const std::vector<std::string> hosts{"m1", "m2", "m3", "m4"};
        test_cluster cluster;
        std::vector<agent_options> agents;
        agents.reserve(hosts.size());
        for (const auto& host : hosts) {
            agents.push_back({host, "helper", engine_arguments});
        }
        cluster.start_agents(agents);
        cluster.start_entry("e1");
        cluster.start_entry("e2");
        std::vector<std::shared_ptr<async_response>> other_results;
        for (int i = 0; i < 24; ++i) {
            const auto request =
                make_completion_request(midlands_key, "swatch", "innocent " + std::to_string(i), 30, false);
            other_results.push_back(
                cluster.caller.start(cluster.entry_address(i % 2 == 0 ? "e1" : "e2"), request));
        }
        cluster.caller.poll_until(cluster.entry_address("e1"), "/metrics", [](const http_response& page) {
            return metric_value(page, "tanager_requests_open") == 12;
        });
        const auto crashing_request =
            make_completion_request(midlands_key, "swatch", "CRASH-ENGINE now", 5, false);
        section("the first time, the request is retried once, alone", [&] {
            const auto response = cluster.caller.fetch(cluster.entry_address("e1"), crashing_request);
            CPPUNIT_ASSERT_EQUAL(std::string{"508"}, find_header(response.headers, "Tanager-Code"));
            CPPUNIT_ASSERT_EQUAL(std::string{"unknown"}, find_header(response.headers, "Tanager-Outcome"));
        });
        section("every resend is rejected as not run", [&] {
            for (int i = 0; i < 20; ++i) {
                const auto response =
                    cluster.caller.fetch(cluster.entry_address(i % 2 == 0 ? "e1" : "e2"), crashing_request);
                CPPUNIT_ASSERT_EQUAL(std::string{"801"}, find_header(response.headers, "Tanager-Code"));
                CPPUNIT_ASSERT_EQUAL(std::string{"not-run"},
                                     find_header(response.headers, "Tanager-Outcome"));
            }
        });
        section("only two of the four engines have crashed", [&] {
            std::size_t crashes = 0;
            for (const auto& host : hosts) {
                crashes += cluster.agent(host).has_line("backend_crashed") ? 1 : 0;
            }
            CPPUNIT_ASSERT_EQUAL(std::size_t{2}, crashes);
        });
        section("requests that ran at the same time complete", [&] {
            for (int i = 0; i < 24; ++i) {
                const auto& result = other_results.at(static_cast<std::size_t>(i));
                cluster.caller.run_until([&] { return result->is_finished(); });
                CPPUNIT_ASSERT(result->response.has_value());
                CPPUNIT_ASSERT_EQUAL_MESSAGE(result->response->body, 200, result->response->status);
                CPPUNIT_ASSERT_EQUAL(standin::expected_completion("innocent " + std::to_string(i), 30),
                                     completion_text(*result->response));
            }
        });
        cluster.check_invariants();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(quarantine_tests);

} // namespace tanager::testing
