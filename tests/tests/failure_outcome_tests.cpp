// Responses and reported outcomes when an agent, a backend server or a connection fails.
#include "standins/support/expected_completion.h"
#include "testing/section.h"
#include "tests/support/test_cluster.h"

#include <cppunit/extensions/HelperMacros.h>
#include <csignal>

namespace tanager::testing {

namespace {

std::string outcome_of(const http_response& response)
{
    return find_header(response.headers, "Tanager-Outcome");
}

} // namespace

class failure_outcome_tests : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(failure_outcome_tests);
    CPPUNIT_TEST(a_broken_stream_never_appears_complete);
    CPPUNIT_TEST(idempotent_work_completes_after_an_agent_crash);
    CPPUNIT_TEST(an_order_whose_agent_crashes_is_unknown_and_runs_at_most_once);
    CPPUNIT_TEST(an_order_that_cannot_reach_its_service_is_not_run);
    CPPUNIT_TEST(a_waiting_order_is_resolved_and_runs_at_most_once);
    CPPUNIT_TEST(an_order_cut_off_while_it_runs_is_unknown);
    CPPUNIT_TEST_SUITE_END();

public:
    void a_broken_stream_never_appears_complete()
    {
        test_cluster cluster;
        cluster.start_agents({{"m1", "helper", {"--token-microseconds", "20000"}}});
        cluster.start_entry("e1");
        const auto entry = cluster.entry_address("e1");
        section("the engine truncates the stream", [&] {
            cluster.caller.post(cluster.backend_address("m1"), "/faults?truncate=1");
            const auto result =
                cluster.caller.start(entry, make_completion_request(midlands_key, "swatch", "cut", 50, true));
            cluster.caller.run_until([&] { return result->is_finished(); });
            CPPUNIT_ASSERT(result->failure.has_value());
            CPPUNIT_ASSERT(result->body_so_far.find("[DONE]") == std::string::npos);
        });
        section("the agent is killed during the stream", [&] {
            const auto result = cluster.caller.start(
                entry, make_completion_request(midlands_key, "swatch", "dies", 500, true));
            cluster.caller.run_until([&] { return !result->body_so_far.empty(); });
            cluster.agent("m1").send_signal(SIGKILL);
            cluster.caller.run_until([&] { return result->is_finished(); });
            CPPUNIT_ASSERT(result->failure.has_value());
            CPPUNIT_ASSERT(result->body_so_far.find("[DONE]") == std::string::npos);
        });
        cluster.check_invariants();
    }

    void idempotent_work_completes_after_an_agent_crash()
    {
        test_cluster cluster;
        const std::vector<std::string> slow_engine_arguments{"--token-microseconds", "50000"};
        cluster.start_agents(
            {{"m1", "helper", slow_engine_arguments}, {"m2", "helper", slow_engine_arguments}});
        cluster.start_entry("e1");
        const auto entry = cluster.entry_address("e1");
        std::vector<std::shared_ptr<async_response>> results;
        for (int i = 0; i < 8; ++i) {
            const auto prompt = "check " + std::to_string(i);
            results.push_back(cluster.caller.start(
                entry, make_completion_request(midlands_key, "swatch", prompt, 20, false)));
        }
        cluster.caller.poll_until(
            cluster.agent_admin_address("m1"), "/metrics", [](const http_response& page) {
                return metric_value(page, "tanager_pieces_used") > 0;
            });
        cluster.agent("m1").send_signal(SIGKILL);
        for (int i = 0; i < 8; ++i) {
            cluster.caller.run_until([&] { return results[i]->is_finished(); });
            CPPUNIT_ASSERT(results[i]->response.has_value());
            CPPUNIT_ASSERT_EQUAL(standin::expected_completion("check " + std::to_string(i), 20),
                                 completion_text(*results[i]->response));
        }
        const auto page = cluster.caller.get(entry, "/metrics");
        CPPUNIT_ASSERT_MESSAGE("the crash must have caused at least one retry",
                               metric_value(page, "tanager_retries_total") > 0);
        cluster.check_invariants();
    }

    void an_order_whose_agent_crashes_is_unknown_and_runs_at_most_once()
    {
        test_cluster cluster;
        cluster.start_agents(
            {{"o1", "orders", {"--work-ms", "300"}}, {"o2", "orders", {"--work-ms", "300"}}});
        cluster.start_entry("e1");
        const auto result = cluster.caller.start(cluster.entry_address("e1"),
                                                 make_service_request(midlands_key, "gel-order", "L201 x 1"));
        const auto total_executions = [&] {
            return cluster.execution_count("o1", "L201 x 1") + cluster.execution_count("o2", "L201 x 1");
        };
        std::string busy_host;
        while (busy_host.empty()) {
            for (const std::string host : {"o1", "o2"}) {
                const auto page = cluster.caller.get(cluster.agent_admin_address(host), "/metrics");
                busy_host = metric_value(page, "tanager_pieces_used") > 0 ? host : busy_host;
            }
        }
        cluster.agent(busy_host).send_signal(SIGKILL);
        cluster.caller.run_until([&] { return result->is_finished(); });
        CPPUNIT_ASSERT(result->response.has_value());
        CPPUNIT_ASSERT_EQUAL(std::string{"unknown"}, outcome_of(*result->response));
        CPPUNIT_ASSERT_EQUAL(std::string{"506"}, find_header(result->response->headers, "Tanager-Code"));
        CPPUNIT_ASSERT(total_executions() <= 1);
        cluster.check_invariants();
    }

    void an_order_that_cannot_reach_its_service_is_not_run()
    {
        test_cluster cluster;
        cluster.start_agents({{"o1", "orders", {}}});
        cluster.start_entry("e1");
        const auto entry = cluster.entry_address("e1");
        CPPUNIT_ASSERT_EQUAL(
            200,
            cluster.caller.fetch(entry, make_service_request(midlands_key, "gel-order", "first")).status);
        cluster.backend("o1").send_signal(SIGKILL);
        cluster.backend("o1").wait();
        const auto response =
            cluster.caller.fetch(entry, make_service_request(midlands_key, "gel-order", "second"));
        CPPUNIT_ASSERT_EQUAL(std::string{"not-run"}, outcome_of(response));
        cluster.check_invariants();
    }

    void a_waiting_order_is_resolved_and_runs_at_most_once()
    {
        test_cluster cluster;
        agent_options options{"o1", "orders", {"--work-ms", "700"}, 1, true};
        cluster.start_agents({options});
        cluster.start_entry("e1");
        const auto entry = cluster.entry_address("e1");
        const auto first =
            cluster.caller.start(entry, make_service_request(midlands_key, "gel-order", "runs"));
        cluster.caller.poll_until(
            cluster.agent_admin_address("o1"), "/metrics", [](const http_response& page) {
                return metric_value(page, "tanager_pieces_used") == 1;
            });
        const auto second =
            cluster.caller.start(entry, make_service_request(midlands_key, "gel-order", "waits"));
        cluster.caller.poll_until(entry, "/metrics", [](const http_response& page) {
            return metric_value(page, "tanager_requests_open") == 2;
        });
        cluster.caller.post(cluster.proxy_control_address("o1"), "/faults?cut=1");
        cluster.caller.post(cluster.proxy_control_address("o1"), "/faults?cut=0");
        cluster.caller.run_until([&] { return first->is_finished() && second->is_finished(); });
        section("the order that was running is reported as unknown, though it ran once", [&] {
            CPPUNIT_ASSERT_EQUAL(std::string{"unknown"}, outcome_of(*first->response));
            cluster.caller.poll_until(
                cluster.backend_address("o1"), "/runs", [](const http_response& response) {
                    return response.body.find("\"runs\":1") != std::string::npos;
                });
        });
        section("the waiting attempt was forbidden, and the order ran once in a new attempt or not at all",
                [&] {
                    const auto executions = cluster.execution_count("o1", "waits");
                    const auto outcome = outcome_of(*second->response);
                    CPPUNIT_ASSERT(outcome == "complete" || outcome == "not-run");
                    CPPUNIT_ASSERT_EQUAL(std::uint64_t{outcome == "complete" ? 1U : 0U}, executions);
                });
        cluster.check_invariants();
    }

    void an_order_cut_off_while_it_runs_is_unknown()
    {
        test_cluster cluster;
        cluster.start_agents({{"o1", "orders", {"--work-ms", "400"}, 64, true}});
        cluster.start_entry("e1");
        const auto entry = cluster.entry_address("e1");
        const auto result =
            cluster.caller.start(entry, make_service_request(midlands_key, "gel-order", "cut off"));
        cluster.caller.poll_until(
            cluster.agent_admin_address("o1"), "/metrics", [](const http_response& page) {
                return metric_value(page, "tanager_pieces_used") == 1;
            });
        cluster.caller.post(cluster.proxy_control_address("o1"), "/faults?cut=1");
        cluster.caller.run_until([&] { return result->is_finished(); });
        CPPUNIT_ASSERT_EQUAL(std::string{"unknown"}, outcome_of(*result->response));
        section("the agent lets the order finish", [&] {
            cluster.caller.poll_until(
                cluster.backend_address("o1"), "/runs", [](const http_response& response) {
                    return response.body.find("\"finished\":1") != std::string::npos;
                });
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, cluster.execution_count("o1", "cut off"));
        });
        cluster.check_invariants();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(failure_outcome_tests);

} // namespace tanager::testing
