// Orders with an idempotency key run at most once, also when they are resent through another entry.
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

std::string code_of(const http_response& response)
{
    return find_header(response.headers, "Tanager-Code");
}

} // namespace

class claims_tests : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(claims_tests);
    CPPUNIT_TEST(a_resend_gets_the_recorded_response);
    CPPUNIT_TEST(concurrent_resends_run_an_order_once);
    CPPUNIT_TEST(an_order_is_not_run_again_after_its_entry_crashes);
    CPPUNIT_TEST(orders_with_a_key_do_not_run_without_the_store);
    CPPUNIT_TEST_SUITE_END();

public:
    void a_resend_gets_the_recorded_response()
    {
        test_cluster cluster;
        cluster.start_agents({{"o1", "orders", {}}, {"o2", "orders", {}}});
        cluster.start_entry("e1");
        cluster.start_entry("e2");
        const auto order = make_service_request(midlands_key, "gel-order", "L201 x 3", "order-77");
        const auto first = cluster.caller.fetch(cluster.entry_address("e1"), order);
        CPPUNIT_ASSERT_EQUAL(200, first.status);
        section("a resend through another entry gets the recorded response", [&] {
            // The response is recorded after the caller has received it, so a resend may first find only the
            // claim (code 701).
            http_response resent;
            do {
                resent = cluster.caller.fetch(cluster.entry_address("e2"), order);
            } while (code_of(resent) == "701");
            CPPUNIT_ASSERT_EQUAL(first.body, resent.body);
            CPPUNIT_ASSERT_EQUAL(std::string{"true"}, find_header(resent.headers, "Tanager-Replayed"));
        });
        section("another order with the same key is rejected", [&] {
            const auto response =
                cluster.caller.fetch(cluster.entry_address("e2"),
                                     make_service_request(midlands_key, "gel-order", "L202 x 3", "order-77"));
            CPPUNIT_ASSERT_EQUAL(std::string{"702"}, code_of(response));
            CPPUNIT_ASSERT_EQUAL(std::string{"not-run"}, outcome_of(response));
        });
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1},
                             cluster.execution_count("o1", "L201 x 3") +
                                 cluster.execution_count("o2", "L201 x 3"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0},
                             cluster.execution_count("o1", "L202 x 3") +
                                 cluster.execution_count("o2", "L202 x 3"));
        cluster.check_invariants();
    }

    void concurrent_resends_run_an_order_once()
    {
        constexpr std::size_t orders = 20;
        constexpr std::size_t resends_per_order = 6;
        test_cluster cluster;
        cluster.start_agents({{"o1", "orders", {"--work-ms", "20"}}, {"o2", "orders", {"--work-ms", "20"}}});
        cluster.start_entry("e1");
        cluster.start_entry("e2");
        cluster.caller.post(cluster.platform_address(), "/faults?lost_answer=10");
        std::vector<std::shared_ptr<async_response>> results;
        for (std::size_t order = 0; order < orders; ++order) {
            for (std::size_t resend = 0; resend < resends_per_order; ++resend) {
                const auto order_text = "order " + std::to_string(order);
                results.push_back(cluster.caller.start(
                    cluster.entry_address(resend % 2 == 0 ? "e1" : "e2"),
                    make_service_request(
                        midlands_key, "gel-order", order_text, "key-" + std::to_string(order))));
            }
        }
        for (std::size_t order = 0; order < orders; ++order) {
            const auto order_text = "order " + std::to_string(order);
            int completed = 0;
            for (std::size_t resend = 0; resend < resends_per_order; ++resend) {
                const auto& result = results.at(order * resends_per_order + resend);
                cluster.caller.run_until([&] { return result->is_finished(); });
                CPPUNIT_ASSERT(result->response.has_value());
                completed += result->response->status == 200 ? 1 : 0;
            }
            const auto executions =
                cluster.execution_count("o1", order_text) + cluster.execution_count("o2", order_text);
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, executions);
            CPPUNIT_ASSERT(completed >= 1);
        }
        cluster.check_invariants();
    }

    void an_order_is_not_run_again_after_its_entry_crashes()
    {
        test_cluster cluster;
        cluster.start_agents({{"o1", "orders", {"--work-ms", "300"}}});
        cluster.start_entry("e1");
        cluster.start_entry("e2");
        const auto order = make_service_request(midlands_key, "gel-order", "once", "order-1");
        const auto first = cluster.caller.start(cluster.entry_address("e1"), order);
        cluster.caller.poll_until(
            cluster.agent_admin_address("o1"), "/metrics", [](const http_response& page) {
                return metric_value(page, "tanager_pieces_used") == 1;
            });
        cluster.entry("e1").send_signal(SIGKILL);
        cluster.caller.run_until([&] { return first->is_finished(); });
        const auto resent = cluster.caller.fetch(cluster.entry_address("e2"), order);
        CPPUNIT_ASSERT_EQUAL(std::string{"unknown"}, outcome_of(resent));
        CPPUNIT_ASSERT_EQUAL(std::string{"701"}, code_of(resent));
        cluster.caller.poll_until(cluster.backend_address("o1"), "/runs", [](const http_response& response) {
            return response.body.find("\"finished\":1") != std::string::npos;
        });
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, cluster.execution_count("o1", "once"));
        cluster.check_invariants();
    }

    void orders_with_a_key_do_not_run_without_the_store()
    {
        test_cluster cluster;
        cluster.start_agents({{"o1", "orders", {}}});
        cluster.start_entry("e1");
        cluster.caller.post(cluster.platform_address(), "/faults?outage=1");
        const auto order = make_service_request(midlands_key, "gel-order", "later", "order-9");
        const auto rejected = cluster.caller.fetch(cluster.entry_address("e1"), order);
        CPPUNIT_ASSERT_EQUAL(std::string{"705"}, code_of(rejected));
        CPPUNIT_ASSERT_EQUAL(std::string{"not-run"}, outcome_of(rejected));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, cluster.execution_count("o1", "later"));
        section("idempotent work and orders without a key are still served", [&] {
            CPPUNIT_ASSERT_EQUAL(
                200,
                cluster.caller
                    .fetch(cluster.entry_address("e1"), make_service_request(midlands_key, "stock", "x"))
                    .status);
            CPPUNIT_ASSERT_EQUAL(
                200,
                cluster.caller
                    .fetch(cluster.entry_address("e1"), make_service_request(midlands_key, "gel-order", "x"))
                    .status);
        });
        section("the order runs once the store is available again", [&] {
            cluster.caller.post(cluster.platform_address(), "/faults?outage=0");
            http_response response;
            do {
                response = cluster.caller.fetch(cluster.entry_address("e1"), order);
            } while (code_of(response) == "705");
            CPPUNIT_ASSERT_EQUAL(200, response.status);
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, cluster.execution_count("o1", "later"));
        });
        cluster.check_invariants();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(claims_tests);

} // namespace tanager::testing
