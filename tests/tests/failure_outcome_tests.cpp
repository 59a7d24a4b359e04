// Answers and outcomes when something breaks on the way.
#include "standins/support/expected_completion.h"
#include "testing/section.h"
#include "tests/support/test_cluster.h"

#include <cppunit/extensions/HelperMacros.h>
#include <csignal>

namespace tanager::testing {

namespace {

std::string outcome_of(const http_response& reply)
{
    return find_header(reply.headers, "Tanager-Outcome");
}

} // namespace

class failure_outcome_tests : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(failure_outcome_tests);
    CPPUNIT_TEST(a_broken_stream_never_looks_whole);
    CPPUNIT_TEST(idempotent_work_survives_a_crash);
    CPPUNIT_TEST(an_order_whose_agent_dies_is_unknown_and_ran_once);
    CPPUNIT_TEST(an_order_that_cannot_reach_its_service_is_not_run);
    CPPUNIT_TEST(a_waiting_order_is_settled_and_runs_once);
    CPPUNIT_TEST(an_order_cut_off_while_it_runs_is_unknown);
    CPPUNIT_TEST_SUITE_END();

public:
    void a_broken_stream_never_looks_whole()
    {
        test_cluster place;
        place.start_agents({{"m1", "helper", {"--token-microseconds", "20000"}}});
        place.start_entry("e1");
        const auto entry = place.entry_address("e1");
        section("the engine cuts it", [&] {
            place.caller.post(place.backend_address("m1"), "/faults?truncate=1");
            const auto answer =
                place.caller.start(entry, make_completion_request(midlands_key, "swatch", "cut", 50, true));
            place.caller.run_until([&] { return answer->is_settled(); });
            CPPUNIT_ASSERT(answer->failure.has_value());
            CPPUNIT_ASSERT(answer->body_so_far.find("[DONE]") == std::string::npos);
        });
        section("the agent dies under it", [&] {
            const auto answer =
                place.caller.start(entry, make_completion_request(midlands_key, "swatch", "dies", 500, true));
            place.caller.run_until([&] { return !answer->body_so_far.empty(); });
            place.agent("m1").send_signal(SIGKILL);
            place.caller.run_until([&] { return answer->is_settled(); });
            CPPUNIT_ASSERT(answer->failure.has_value());
            CPPUNIT_ASSERT(answer->body_so_far.find("[DONE]") == std::string::npos);
        });
        place.check_invariants();
    }

    void idempotent_work_survives_a_crash()
    {
        test_cluster place;
        const std::vector<std::string> slow{"--token-microseconds", "50000"};
        place.start_agents({{"m1", "helper", slow}, {"m2", "helper", slow}});
        place.start_entry("e1");
        const auto entry = place.entry_address("e1");
        std::vector<std::shared_ptr<async_response>> answers;
        for (int i = 0; i < 8; ++i) {
            const auto prompt = "check " + std::to_string(i);
            answers.push_back(place.caller.start(
                entry, make_completion_request(midlands_key, "swatch", prompt, 20, false)));
        }
        place.caller.poll_until(place.agent_admin_address("m1"), "/metrics", [](const http_response& page) {
            return metric_value(page, "tanager_pieces_used") > 0;
        });
        place.agent("m1").send_signal(SIGKILL);
        for (int i = 0; i < 8; ++i) {
            place.caller.run_until([&] { return answers[i]->is_settled(); });
            CPPUNIT_ASSERT(answers[i]->reply.has_value());
            CPPUNIT_ASSERT_EQUAL(standin::expected_completion("check " + std::to_string(i), 20),
                                 completion_text(*answers[i]->reply));
        }
        const auto page = place.caller.get(entry, "/metrics");
        CPPUNIT_ASSERT_MESSAGE("the crash must have hit something",
                               metric_value(page, "tanager_retries_total") > 0);
        place.check_invariants();
    }

    void an_order_whose_agent_dies_is_unknown_and_ran_once()
    {
        test_cluster place;
        place.start_agents({{"o1", "orders", {"--work-ms", "300"}}, {"o2", "orders", {"--work-ms", "300"}}});
        place.start_entry("e1");
        const auto answer = place.caller.start(place.entry_address("e1"),
                                               make_service_request(midlands_key, "gel-order", "L201 x 1"));
        const auto runs_anywhere = [&] {
            return place.execution_count("o1", "L201 x 1") + place.execution_count("o2", "L201 x 1");
        };
        std::string busy;
        while (busy.empty()) {
            for (const std::string host : {"o1", "o2"}) {
                const auto page = place.caller.get(place.agent_admin_address(host), "/metrics");
                busy = metric_value(page, "tanager_pieces_used") > 0 ? host : busy;
            }
        }
        place.agent(busy).send_signal(SIGKILL);
        place.caller.run_until([&] { return answer->is_settled(); });
        CPPUNIT_ASSERT(answer->reply.has_value());
        CPPUNIT_ASSERT_EQUAL(std::string{"unknown"}, outcome_of(*answer->reply));
        CPPUNIT_ASSERT_EQUAL(std::string{"506"}, find_header(answer->reply->headers, "Tanager-Code"));
        CPPUNIT_ASSERT(runs_anywhere() <= 1);
        place.check_invariants();
    }

    void an_order_that_cannot_reach_its_service_is_not_run()
    {
        test_cluster place;
        place.start_agents({{"o1", "orders", {}}});
        place.start_entry("e1");
        const auto entry = place.entry_address("e1");
        CPPUNIT_ASSERT_EQUAL(
            200, place.caller.fetch(entry, make_service_request(midlands_key, "gel-order", "first")).status);
        place.backend("o1").send_signal(SIGKILL);
        place.backend("o1").wait();
        const auto reply =
            place.caller.fetch(entry, make_service_request(midlands_key, "gel-order", "second"));
        CPPUNIT_ASSERT_EQUAL(std::string{"not-run"}, outcome_of(reply));
        place.check_invariants();
    }

    void a_waiting_order_is_settled_and_runs_once()
    {
        test_cluster place;
        agent_options plan{"o1", "orders", {"--work-ms", "700"}, 1, true};
        place.start_agents({plan});
        place.start_entry("e1");
        const auto entry = place.entry_address("e1");
        const auto first = place.caller.start(entry, make_service_request(midlands_key, "gel-order", "runs"));
        place.caller.poll_until(place.agent_admin_address("o1"), "/metrics", [](const http_response& page) {
            return metric_value(page, "tanager_pieces_used") == 1;
        });
        const auto second =
            place.caller.start(entry, make_service_request(midlands_key, "gel-order", "waits"));
        place.caller.poll_until(entry, "/metrics", [](const http_response& page) {
            return metric_value(page, "tanager_requests_open") == 2;
        });
        place.caller.post(place.proxy_control_address("o1"), "/faults?cut=1");
        place.caller.post(place.proxy_control_address("o1"), "/faults?cut=0");
        place.caller.run_until([&] { return first->is_settled() && second->is_settled(); });
        section("the one that ran is unknown, though it ran once", [&] {
            CPPUNIT_ASSERT_EQUAL(std::string{"unknown"}, outcome_of(*first->reply));
            place.caller.poll_until(place.backend_address("o1"), "/runs", [](const http_response& reply) {
                return reply.body.find("\"runs\":1") != std::string::npos;
            });
        });
        section("the one that waited was forbidden, and either ran once in a new attempt or not at all", [&] {
            const auto runs = place.execution_count("o1", "waits");
            const auto outcome = outcome_of(*second->reply);
            CPPUNIT_ASSERT(outcome == "complete" || outcome == "not-run");
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{outcome == "complete" ? 1U : 0U}, runs);
        });
        place.check_invariants();
    }

    void an_order_cut_off_while_it_runs_is_unknown()
    {
        test_cluster place;
        place.start_agents({{"o1", "orders", {"--work-ms", "400"}, 64, true}});
        place.start_entry("e1");
        const auto entry = place.entry_address("e1");
        const auto answer =
            place.caller.start(entry, make_service_request(midlands_key, "gel-order", "cut off"));
        place.caller.poll_until(place.agent_admin_address("o1"), "/metrics", [](const http_response& page) {
            return metric_value(page, "tanager_pieces_used") == 1;
        });
        place.caller.post(place.proxy_control_address("o1"), "/faults?cut=1");
        place.caller.run_until([&] { return answer->is_settled(); });
        CPPUNIT_ASSERT_EQUAL(std::string{"unknown"}, outcome_of(*answer->reply));
        section("the agent lets it run to its end", [&] {
            place.caller.poll_until(place.backend_address("o1"), "/runs", [](const http_response& reply) {
                return reply.body.find("\"finished\":1") != std::string::npos;
            });
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, place.execution_count("o1", "cut off"));
        });
        place.check_invariants();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(failure_outcome_tests);

} // namespace tanager::testing
