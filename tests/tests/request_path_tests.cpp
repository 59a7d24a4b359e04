// The whole request path with real processes: caller, entry, agent and backend server.
#include "standins/support/expected_completion.h"
#include "testing/section.h"
#include "tests/support/raw_tcp_client.h"
#include "tests/support/test_cluster.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

using tanager::standin::expected_completion;

namespace tanager::testing {

class request_path_tests : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(request_path_tests);
    CPPUNIT_TEST(responses_reach_their_callers);
    CPPUNIT_TEST(a_caller_that_disconnects_cancels_its_work);
    CPPUNIT_TEST(a_slow_caller_delays_only_its_own_response);
    CPPUNIT_TEST_SUITE_END();

public:
    void responses_reach_their_callers()
    {
        test_cluster cluster;
        cluster.start_agents({{"m1", "helper", {"--token-microseconds", "500"}},
                              {"m2", "helper", {"--token-microseconds", "500"}},
                              {"o1", "orders", {}}});
        cluster.start_entry("e1");
        const auto entry = cluster.entry_address("e1");
        section("a completion that is not streamed has text, outcome and request id", [&] {
            const auto response = cluster.caller.fetch(
                entry, make_completion_request(midlands_key, "swatch", "Lee 201?", 5, false));
            CPPUNIT_ASSERT_EQUAL(200, response.status);
            CPPUNIT_ASSERT_EQUAL(std::string{"complete"}, find_header(response.headers, "Tanager-Outcome"));
            CPPUNIT_ASSERT_EQUAL(expected_completion("Lee 201?", 5), completion_text(response));
            CPPUNIT_ASSERT(!find_header(response.headers, "X-Request-Id").empty());
        });
        section("a streamed completion ends with its outcome", [&] {
            const auto response = cluster.caller.fetch(
                entry, make_completion_request(midlands_key, "swatch", "Lee 201?", 7, true));
            CPPUNIT_ASSERT_EQUAL(expected_completion("Lee 201?", 7), completion_text(response));
            CPPUNIT_ASSERT(response.body.ends_with("data: [DONE]\n\n: tanager-outcome complete\n\n"));
        });
        section("an order runs once and returns its receipt", [&] {
            const auto response =
                cluster.caller.fetch(entry, make_service_request(midlands_key, "gel-order", "L201 x 12"));
            CPPUNIT_ASSERT_EQUAL(200, response.status);
            CPPUNIT_ASSERT_EQUAL(std::string{"L201 x 12"},
                                 nlohmann::json::parse(response.body).at("order").get<std::string>());
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, cluster.execution_count("o1", "L201 x 12"));
        });
        section("200 concurrent callers each get their own response", [&] {
            std::vector<std::shared_ptr<async_response>> results;
            constexpr int callers = 200;
            for (int i = 0; i < callers; ++i) {
                const auto prompt = "caller " + std::to_string(i);
                results.push_back(
                    cluster.caller.start(entry,
                                         make_completion_request(i % 2 == 0 ? midlands_key : yesil_key,
                                                                 i % 2 == 0 ? "swatch" : "rulebook",
                                                                 prompt,
                                                                 8,
                                                                 i % 3 == 0)));
            }
            for (int i = 0; i < callers; ++i) {
                cluster.caller.run_until([&] { return results[i]->is_finished(); });
                CPPUNIT_ASSERT(results[i]->response.has_value());
                CPPUNIT_ASSERT_EQUAL(expected_completion("caller " + std::to_string(i), 8),
                                     completion_text(*results[i]->response));
            }
        });
        section("the metrics count requests by member and class", [&] {
            const auto page = cluster.caller.get(entry, "/metrics");
            CPPUNIT_ASSERT(
                metric_value(page,
                             "tanager_request_seconds_count{member=\"midlands\",class=\"gel-order\"}") == 1);
            CPPUNIT_ASSERT(
                metric_value(
                    page, "tanager_first_token_seconds_count{member=\"yesil\",class=\"rulebook\"}") == 100);
        });
        cluster.check_invariants();
    }

    void a_caller_that_disconnects_cancels_its_work()
    {
        test_cluster cluster;
        cluster.start_agents({{"m1", "helper", {"--token-microseconds", "20000"}}});
        cluster.start_entry("e1");
        const auto result =
            cluster.caller.start(cluster.entry_address("e1"),
                                 make_completion_request(midlands_key, "swatch", "long", 4'000, true));
        cluster.caller.run_until([&] { return !result->body_so_far.empty(); });
        result->call->cancel();
        cluster.caller.poll_until(cluster.backend_address("m1"), "/runs", [](const http_response& response) {
            return nlohmann::json::parse(response.body).at("cancelled") == 1;
        });
        section("the agent releases its pieces", [&] {
            cluster.caller.poll_until(
                cluster.agent_admin_address("m1"), "/metrics", [](const http_response& response) {
                    return metric_value(response, "tanager_pieces_used") == 0;
                });
        });
        cluster.check_invariants();
    }

    void a_slow_caller_delays_only_its_own_response()
    {
        constexpr std::uint64_t response_bytes = 64UL * 1024 * 1024;
        constexpr int small_buffer_bytes = 4'096;
        test_cluster cluster;
        cluster.start_agents({{"o1", "orders", {}}});
        cluster.start_entry("e1");
        raw_tcp_client slow_client(cluster.entry_address("e1"), small_buffer_bytes);
        CPPUNIT_ASSERT(slow_client.send("GET /services/stock/bulk?bytes=" + std::to_string(response_bytes) +
                                        " HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + midlands_key +
                                        "\r\n\r\n"));
        std::string received = slow_client.receive_until("\r\n\r\n");
        CPPUNIT_ASSERT(received.starts_with("HTTP/1.1 200"));
        section("the backend server stops sending while the caller does not read", [&] {
            // Other callers are served meanwhile. The buffers on the path are full once the number of bytes
            // sent no longer grows.
            std::uint64_t sent = 0;
            std::uint64_t previously_sent = 1;
            for (int round = 0; round < 1'000 && sent != previously_sent; ++round) {
                for (int other = 0; other < 20; ++other) {
                    CPPUNIT_ASSERT_EQUAL(200,
                                         cluster.caller
                                             .fetch(cluster.entry_address("e1"),
                                                    make_service_request(midlands_key, "stock", "L119"))
                                             .status);
                }
                previously_sent = sent;
                sent = std::stoull(cluster.caller.get(cluster.backend_address("o1"), "/bulk_sent").body);
            }
            CPPUNIT_ASSERT(sent < response_bytes);
        });
        section("the slow caller receives the complete response", [&] {
            std::uint64_t body_bytes = 0;
            std::string tail = received.substr(received.find("\r\n\r\n"));
            body_bytes += static_cast<std::uint64_t>(std::ranges::count(tail, 'x'));
            constexpr std::size_t receive_bytes = 1024UL * 1024;
            while (!tail.ends_with("0\r\n\r\n")) {
                const std::string bytes = slow_client.receive(receive_bytes);
                CPPUNIT_ASSERT(!bytes.empty());
                body_bytes += static_cast<std::uint64_t>(std::ranges::count(bytes, 'x'));
                tail = bytes.size() >= 5 ? bytes : tail.append(bytes);
            }
            CPPUNIT_ASSERT_EQUAL(response_bytes, body_bytes);
        });
        cluster.check_invariants();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(request_path_tests);

} // namespace tanager::testing
