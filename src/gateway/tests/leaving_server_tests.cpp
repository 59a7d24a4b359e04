// Guards against requests to a server that has stated in an answer that it leaves, while the store is down or
// lists it as ready: they are lost when it exits.
#include "gateway/mocks/forwarding_fixture.h"
#include "testing/section.h"

#include <cppunit/extensions/HelperMacros.h>

namespace tanager {

namespace {

using namespace std::chrono_literals;
using testing::section;

const http_headers complete{{"id", "r1"}, {"signed", "1"}};
const http_headers leaving{{"id", "r1"}, {"signed", "1"}, {"leaving", "1"}};

class leaving_fixture : public forwarding_fixture {
public:
    // The decode engine `d` and the prefill engine `p`.
    void add_engines()
    {
        this->pool.servers().replace_all({});
        this->add_server("d", engine_role::decode);
        this->add_server("p", engine_role::prefill);
        this->active_route.kind = route_kind::streaming;
        this->prompt = {5, 6'000, 2'000, 10};
        this->is_model = true;
    }

    bool takes_work(const std::string& id)
    {
        return this->pool.servers().takes_work(id);
    }

    // Sends a request whose server then states that it leaves; returns the server.
    std::string send_to_leaving_server(int status, const http_headers& headers)
    {
        this->send();
        const auto answered = this->client.calls.back();
        answered->respond(status, headers, "text");
        return server_of(*answered);
    }
};

class leaving_server_tests : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(leaving_server_tests);
    CPPUNIT_TEST(any_answer_may_state_it);
    CPPUNIT_TEST(answers_to_calls_of_prefill_state_it);
    CPPUNIT_TEST(a_misdirected_answer_states_it_of_another_server);
    CPPUNIT_TEST(retries_and_waiting_requests_go_elsewhere);
    CPPUNIT_TEST(rejects_at_once_when_all_servers_leave);
    CPPUNIT_TEST_SUITE_END();

public:
    void any_answer_may_state_it()
    {
        struct answer {
            std::string name;
            int status = 0;
            http_headers headers;
        };
        const std::vector<answer> answers{
            {"a complete response", 200, leaving},
            {"a failure", 500, leaving},
            {"a refusal", 503, {{"id", "r1"}, {"not-run", "1"}, {"leaving", "1"}}},
            {"a refusal that names no request", 503, {{"not-run", "1"}, {"leaving", "1"}}},
            {"a response that names another request", 200, {{"id", "r0"}, {"leaving", "1"}}}};
        for (const auto& stated : answers) {
            section(stated.name, [&] {
                leaving_fixture gateway;
                const auto server = gateway.send_to_leaving_server(stated.status, stated.headers);
                CPPUNIT_ASSERT(!gateway.takes_work(server));
                section("later requests go to the other server", [&] {
                    const auto calls_before = gateway.client.calls.size();
                    for (int count = 0; count < 2; ++count) {
                        gateway.send();
                    }
                    for (auto index = calls_before; index < gateway.client.calls.size(); ++index) {
                        CPPUNIT_ASSERT(leaving_fixture::server_of(gateway.call(index)) != server);
                    }
                });
            });
        }
        section("the head of a stream states it: requests that come before its end go elsewhere", [] {
            leaving_fixture gateway;
            gateway.active_route.kind = route_kind::streaming;
            const auto exchange = gateway.send();
            CPPUNIT_ASSERT(gateway.call(0).handler->owner_of(200, leaving) == response_owner::this_call);
            gateway.call(0).handler->on_head(200, leaving);
            CPPUNIT_ASSERT(!gateway.takes_work(leaving_fixture::server_of(gateway.call(0))));
            section("the stream itself goes on", [&] {
                gateway.call(0).handler->on_data("id: 1\ndata: a\n\n");
                gateway.call(0).handler->on_end();
                CPPUNIT_ASSERT(exchange->is_finished);
            });
        });
        section("each server is counted once, by the kind of its first answer", [] {
            leaving_fixture gateway;
            std::vector<answer_kind> counted;
            gateway.pool.set_leaving_callback([&counted](answer_kind kind) { counted.push_back(kind); });
            gateway.send();
            gateway.send();
            gateway.send();
            for (std::size_t call = 0; call < 3; ++call) {
                gateway.call(call).respond(200, leaving, "text");
            }
            CPPUNIT_ASSERT(counted == std::vector(2, answer_kind::response));
        });
    }

    void answers_to_calls_of_prefill_state_it()
    {
        section("a prefill engine states it with the KV cache, which is used", [] {
            leaving_fixture gateway;
            gateway.add_engines();
            gateway.send();
            gateway.call(0).respond(200, {{"id", "r1"}, {"leaving", "1"}}, "h7");
            CPPUNIT_ASSERT(!gateway.takes_work("p"));
            CPPUNIT_ASSERT_EQUAL(std::string{"h7"}, find_header(gateway.call(1).request.headers, "cache"));
            section("nothing is prefilled there any more, and the cache is not released by a call", [&] {
                gateway.call(1).fail(call_progress::maybe_sent);
                gateway.send();
                for (std::size_t call = 1; call < gateway.client.calls.size(); ++call) {
                    CPPUNIT_ASSERT(gateway.call(call).peer != gateway.call(0).peer);
                }
            });
        });
        section("the decode engine that was chosen before the prefill states it meanwhile", [] {
            leaving_fixture gateway;
            gateway.add_engines();
            gateway.send();
            gateway.add_server("e", engine_role::decode);
            gateway.pool.record_leaving(*gateway.pool.servers().find("d"),
                                        leaving_statement::asked_server,
                                        answer_kind::response,
                                        200); // NOLINT(*-magic-numbers)
            gateway.call(0).respond(200, {{"id", "r1"}}, "h7");
            CPPUNIT_ASSERT_EQUAL(std::string{"e"}, leaving_fixture::server_of(gateway.call(1)));
        });
        section("the answer to the release of a KV cache states it", [] {
            leaving_fixture gateway;
            gateway.add_engines();
            const auto exchange = gateway.send();
            gateway.call(0).respond(200, {{"id", "r1"}}, "h7");
            exchange->caller_left_callback();
            const auto released = gateway.client.calls.back();
            CPPUNIT_ASSERT_EQUAL(std::string{"DELETE"}, released->request.method);
            released->respond(200, {{"leaving", "1"}}, "");
            CPPUNIT_ASSERT(!gateway.takes_work("p"));
        });
    }

    void a_misdirected_answer_states_it_of_another_server()
    {
        section("the address of a listed server belongs to one that leaves", [] {
            leaving_fixture gateway;
            gateway.remove_server("b");
            auto holder = *gateway.pool.servers().find("a");
            holder.id = "c";
            holder.incarnation = 7; // NOLINT(*-magic-numbers)
            holder.service = "other";
            gateway.pool.servers().apply({"c", holder});
            gateway.send();
            gateway.call(0).respond(421, {{"leaving", "1"}}, "");
            CPPUNIT_ASSERT(gateway.takes_work("a"));
            CPPUNIT_ASSERT(!gateway.takes_work("c"));
        });
    }

    void retries_and_waiting_requests_go_elsewhere()
    {
        section("a server refuses a request and leaves: the retry goes to another one", [] {
            leaving_fixture gateway;
            gateway.add_server("c", engine_role::none);
            const auto server =
                gateway.send_to_leaving_server(503, {{"id", "r1"}, {"not-run", "1"}, {"leaving", "1"}});
            CPPUNIT_ASSERT(leaving_fixture::server_of(gateway.call(1)) != server);
        });
        section("a request waits for a slot while its last server begins to leave", [] {
            leaving_fixture gateway;
            gateway.remove_server("b");
            for (int count = 0; count < 20; ++count) { // how long slots are held
                gateway.send();
                gateway.time.advance(10ms);
                gateway.client.calls.back()->respond(200, complete, "text");
            }
            constexpr std::size_t all_places = 4;
            for (std::size_t count = 0; count < all_places; ++count) {
                gateway.send();
            }
            const auto first = gateway.client.calls.back();
            const auto calls = gateway.client.calls.size();
            const auto waiting = gateway.send();
            CPPUNIT_ASSERT(!waiting->is_finished);
            CPPUNIT_ASSERT_EQUAL(calls, gateway.client.calls.size());
            first->respond(200, leaving, "text");
            CPPUNIT_ASSERT(waiting->is_finished);
            CPPUNIT_ASSERT_EQUAL(503, waiting->sent_response.status);
            CPPUNIT_ASSERT_EQUAL(calls, gateway.client.calls.size());
        });
    }

    void rejects_at_once_when_all_servers_leave()
    {
        leaving_fixture gateway;
        const auto first = gateway.send_to_leaving_server(200, leaving);
        const auto second = gateway.send_to_leaving_server(200, leaving);
        CPPUNIT_ASSERT(first != second);
        const auto exchange = gateway.send();
        CPPUNIT_ASSERT(exchange->is_finished);
        CPPUNIT_ASSERT_EQUAL(503, exchange->sent_response.status);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, gateway.client.calls.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(leaving_server_tests);

} // namespace

} // namespace tanager
