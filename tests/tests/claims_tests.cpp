// Orders with an idempotency key, sent again through any entry, run at most once.
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

std::string code_of(const http_response& reply)
{
    return find_header(reply.headers, "Tanager-Code");
}

} // namespace

class claims_tests : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(claims_tests);
    CPPUNIT_TEST(a_resend_gets_the_first_answer);
    CPPUNIT_TEST(callers_who_race_run_one_order);
    CPPUNIT_TEST(an_entry_that_dies_leaves_no_second_run);
    CPPUNIT_TEST(a_store_that_is_away_runs_no_order);
    CPPUNIT_TEST_SUITE_END();

public:
    void a_resend_gets_the_first_answer()
    {
        test_cluster place;
        place.start_agents({{"o1", "orders", {}}, {"o2", "orders", {}}});
        place.start_entry("e1");
        place.start_entry("e2");
        const auto order = make_service_request(midlands_key, "gel-order", "L201 x 3", "order-77");
        const auto first = place.caller.fetch(place.entry_address("e1"), order);
        CPPUNIT_ASSERT_EQUAL(200, first.status);
        section("through another entry", [&] {
            // The answer is recorded after the caller has it, so the resend may first find the claim alone.
            http_response resent;
            do {
                resent = place.caller.fetch(place.entry_address("e2"), order);
            } while (code_of(resent) == "701");
            CPPUNIT_ASSERT_EQUAL(first.body, resent.body);
            CPPUNIT_ASSERT_EQUAL(std::string{"true"}, find_header(resent.headers, "Tanager-Replayed"));
        });
        section("another order under the same key is refused", [&] {
            const auto reply =
                place.caller.fetch(place.entry_address("e2"),
                                   make_service_request(midlands_key, "gel-order", "L202 x 3", "order-77"));
            CPPUNIT_ASSERT_EQUAL(std::string{"702"}, code_of(reply));
            CPPUNIT_ASSERT_EQUAL(std::string{"not-run"}, outcome_of(reply));
        });
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1},
                             place.execution_count("o1", "L201 x 3") +
                                 place.execution_count("o2", "L201 x 3"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0},
                             place.execution_count("o1", "L202 x 3") +
                                 place.execution_count("o2", "L202 x 3"));
        place.check_invariants();
    }

    void callers_who_race_run_one_order()
    {
        constexpr std::size_t orders = 20;
        constexpr std::size_t senders = 6;
        test_cluster place;
        place.start_agents({{"o1", "orders", {"--work-ms", "20"}}, {"o2", "orders", {"--work-ms", "20"}}});
        place.start_entry("e1");
        place.start_entry("e2");
        place.caller.post(place.platform_address(), "/faults?lost_answer=10");
        std::vector<std::shared_ptr<async_response>> answers;
        for (std::size_t order = 0; order < orders; ++order) {
            for (std::size_t sender = 0; sender < senders; ++sender) {
                const auto name = "order " + std::to_string(order);
                answers.push_back(place.caller.start(
                    place.entry_address(sender % 2 == 0 ? "e1" : "e2"),
                    make_service_request(midlands_key, "gel-order", name, "key-" + std::to_string(order))));
            }
        }
        for (std::size_t order = 0; order < orders; ++order) {
            const auto name = "order " + std::to_string(order);
            int complete = 0;
            for (std::size_t sender = 0; sender < senders; ++sender) {
                const auto& answer = answers.at(order * senders + sender);
                place.caller.run_until([&] { return answer->is_settled(); });
                CPPUNIT_ASSERT(answer->reply.has_value());
                complete += answer->reply->status == 200 ? 1 : 0;
            }
            const auto runs = place.execution_count("o1", name) + place.execution_count("o2", name);
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, runs);
            CPPUNIT_ASSERT(complete >= 1);
        }
        place.check_invariants();
    }

    void an_entry_that_dies_leaves_no_second_run()
    {
        test_cluster place;
        place.start_agents({{"o1", "orders", {"--work-ms", "300"}}});
        place.start_entry("e1");
        place.start_entry("e2");
        const auto order = make_service_request(midlands_key, "gel-order", "once", "order-1");
        const auto first = place.caller.start(place.entry_address("e1"), order);
        place.caller.poll_until(place.agent_admin_address("o1"), "/metrics", [](const http_response& page) {
            return metric_value(page, "tanager_pieces_used") == 1;
        });
        place.entry("e1").send_signal(SIGKILL);
        place.caller.run_until([&] { return first->is_settled(); });
        const auto resent = place.caller.fetch(place.entry_address("e2"), order);
        CPPUNIT_ASSERT_EQUAL(std::string{"unknown"}, outcome_of(resent));
        CPPUNIT_ASSERT_EQUAL(std::string{"701"}, code_of(resent));
        place.caller.poll_until(place.backend_address("o1"), "/runs", [](const http_response& reply) {
            return reply.body.find("\"finished\":1") != std::string::npos;
        });
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, place.execution_count("o1", "once"));
        place.check_invariants();
    }

    void a_store_that_is_away_runs_no_order()
    {
        test_cluster place;
        place.start_agents({{"o1", "orders", {}}});
        place.start_entry("e1");
        place.caller.post(place.platform_address(), "/faults?outage=1");
        const auto order = make_service_request(midlands_key, "gel-order", "later", "order-9");
        const auto refused = place.caller.fetch(place.entry_address("e1"), order);
        CPPUNIT_ASSERT_EQUAL(std::string{"705"}, code_of(refused));
        CPPUNIT_ASSERT_EQUAL(std::string{"not-run"}, outcome_of(refused));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, place.execution_count("o1", "later"));
        section("idempotent work and orders without a key go on", [&] {
            CPPUNIT_ASSERT_EQUAL(
                200,
                place.caller
                    .fetch(place.entry_address("e1"), make_service_request(midlands_key, "stock", "x"))
                    .status);
            CPPUNIT_ASSERT_EQUAL(
                200,
                place.caller
                    .fetch(place.entry_address("e1"), make_service_request(midlands_key, "gel-order", "x"))
                    .status);
        });
        section("and the order runs when the store is back", [&] {
            place.caller.post(place.platform_address(), "/faults?outage=0");
            http_response reply;
            do {
                reply = place.caller.fetch(place.entry_address("e1"), order);
            } while (code_of(reply) == "705");
            CPPUNIT_ASSERT_EQUAL(200, reply.status);
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, place.execution_count("o1", "later"));
        });
        place.check_invariants();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(claims_tests);

} // namespace tanager::testing
