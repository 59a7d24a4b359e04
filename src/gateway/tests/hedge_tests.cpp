#include "gateway/mocks/forwarding_fixture.h"
#include "testing/section.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>

namespace tanager {

namespace {

using namespace std::chrono_literals;
using testing::section;

const http_headers signed_response{{"id", "r1"}, {"signed", "1"}};
const http_headers refusal{{"id", "r1"}, {"not-run", "1"}};

// A route whose answers take 4 ms, and of which every request may be hedged.
class hedging_fixture : public forwarding_fixture {
public:
    hedging_fixture()
    {
        this->active_route.kind = route_kind::idempotent;
        this->hedges.set_policy({1, {}});
        for (int count = 0; count < 20; ++count) {
            this->hedges.record_request(this->active_route.name);
            this->hedges.record_latency(this->active_route.name, 4ms);
        }
        for (int count = 0; count < 3; ++count) {
            this->retries.record_request("desk");
        }
    }

    // Lets the time pass in which an answer is expected.
    void wait_for_hedge()
    {
        const auto end = std::chrono::steady_clock::now() + 30ms;
        while (std::chrono::steady_clock::now() < end) {
            const auto timer = this->loop->run_after(5ms, [] {});
            this->loop->run_once();
        }
        this->time.advance(10ms);
    }

    std::shared_ptr<fake_exchange> send_hedged()
    {
        auto exchange = this->send();
        this->wait_for_hedge();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, this->client.calls.size());
        return exchange;
    }

    void configure(std::uint64_t version, std::vector<organisation> organisations)
    {
        route_table table;
        table.version = version;
        table.organisations = organisation_list{std::move(organisations), {}};
        CPPUNIT_ASSERT(this->routes.apply(std::move(table)));
    }

    std::uint32_t used_slots()
    {
        return this->scheduler.slot_usage_of("desk").local_running;
    }
};

class hedge_tests : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(hedge_tests);
    CPPUNIT_TEST(forwards_the_first_good_answer);
    CPPUNIT_TEST(survives_the_failure_of_either_attempt);
    CPPUNIT_TEST(does_not_wait_for_a_second_server_out_of_reach);
    CPPUNIT_TEST(suspects_no_server_for_an_error_of_the_caller);
    CPPUNIT_TEST(is_true_about_execution);
    CPPUNIT_TEST(leaves_other_requests_alone);
    CPPUNIT_TEST(the_second_server_states_that_it_leaves);
    CPPUNIT_TEST_SUITE_END();

public:
    void the_second_server_states_that_it_leaves()
    {
        hedging_fixture fixture;
        fixture.send_hedged();
        fixture.call(1).respond(200, {{"id", "r1"}, {"signed", "1"}, {"leaving", "1"}}, "second");
        CPPUNIT_ASSERT(!fixture.pool.servers().takes_work(hedging_fixture::server_of(fixture.call(1))));
        CPPUNIT_ASSERT(fixture.pool.servers().takes_work(hedging_fixture::server_of(fixture.call(0))));
    }

    void forwards_the_first_good_answer()
    {
        section("a server is slow", [] {
            hedging_fixture fixture;
            const auto exchange = fixture.send_hedged();
            section("the request goes to another server as well", [&] {
                CPPUNIT_ASSERT(hedging_fixture::server_of(fixture.call(0)) !=
                               hedging_fixture::server_of(fixture.call(1)));
            });
            section("the second server answers first: the first call is cancelled", [&] {
                fixture.call(1).respond(200, signed_response, "second");
                CPPUNIT_ASSERT_EQUAL(std::string{"second"}, exchange->sent_response.body);
                CPPUNIT_ASSERT(fixture.call(0).is_cancelled);
                CPPUNIT_ASSERT_EQUAL(1, fixture.finished_requests);
                CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, fixture.used_slots());
            });
        });
        section("the first server answers first after all: the second call is cancelled", [] {
            hedging_fixture fixture;
            const auto exchange = fixture.send_hedged();
            fixture.call(0).respond(200, signed_response, "first");
            CPPUNIT_ASSERT_EQUAL(std::string{"first"}, exchange->sent_response.body);
            CPPUNIT_ASSERT(fixture.call(1).is_cancelled);
            CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, fixture.used_slots());
        });
        section("both have begun to answer: the answers are not mixed", [] {
            hedging_fixture fixture;
            const auto exchange = fixture.send_hedged();
            const auto first = fixture.call(0).handler;
            first->on_head(200, signed_response);
            first->on_data("half of the fir");
            fixture.call(1).respond(200, signed_response, "second");
            CPPUNIT_ASSERT_EQUAL(std::string{"second"}, exchange->sent_response.body);
        });
        section("the deadline passes: both calls are cancelled", [] {
            hedging_fixture fixture;
            const auto exchange = fixture.send(200ms);
            fixture.wait_for_hedge();
            CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fixture.client.calls.size());
            const auto end = std::chrono::steady_clock::now() + 2s;
            while (!exchange->is_finished && std::chrono::steady_clock::now() < end) {
                const auto timer = fixture.loop->run_after(5ms, [] {});
                fixture.loop->run_once();
            }
            CPPUNIT_ASSERT_EQUAL(504, exchange->sent_response.status);
            CPPUNIT_ASSERT(fixture.call(0).is_cancelled);
            CPPUNIT_ASSERT(fixture.call(1).is_cancelled);
            CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, fixture.used_slots());
        });
        section("the caller leaves: both calls are cancelled at once", [] {
            hedging_fixture fixture;
            const auto exchange = fixture.send_hedged();
            exchange->caller_left_callback();
            CPPUNIT_ASSERT(fixture.call(0).is_cancelled);
            CPPUNIT_ASSERT(fixture.call(1).is_cancelled);
            CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, fixture.used_slots());
        });
    }

    void survives_the_failure_of_either_attempt()
    {
        section("the second attempt fails: the first goes on", [] {
            hedging_fixture fixture;
            const auto exchange = fixture.send_hedged();
            fixture.call(1).fail(call_progress::maybe_sent);
            CPPUNIT_ASSERT(!exchange->is_finished);
            fixture.call(0).respond(200, signed_response, "first");
            CPPUNIT_ASSERT_EQUAL(std::string{"first"}, exchange->sent_response.body);
        });
        section("the first attempt fails: the second goes on, without a third", [] {
            hedging_fixture fixture;
            const auto exchange = fixture.send_hedged();
            fixture.call(0).fail(call_progress::maybe_sent);
            CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fixture.client.calls.size());
            fixture.call(1).respond(200, signed_response, "second");
            CPPUNIT_ASSERT_EQUAL(std::string{"second"}, exchange->sent_response.body);
        });
        section("the first server has failed and the second is lost: its failure is forwarded", [] {
            hedging_fixture fixture;
            const auto exchange = fixture.send_hedged();
            fixture.call(0).respond(500, signed_response, "failure");
            CPPUNIT_ASSERT(!exchange->is_finished);
            fixture.call(1).fail(call_progress::maybe_sent);
            CPPUNIT_ASSERT_EQUAL(500, exchange->sent_response.status);
            CPPUNIT_ASSERT_EQUAL(std::string{"failure"}, exchange->sent_response.body);
        });
        section("a failure of the second server does not reach the caller", [] {
            hedging_fixture fixture;
            const auto exchange = fixture.send_hedged();
            fixture.call(1).respond(500, signed_response, "failure");
            CPPUNIT_ASSERT(!exchange->is_finished);
        });
    }

    void does_not_wait_for_a_second_server_out_of_reach()
    {
        hedging_fixture fixture;
        fixture.add_server("c", engine_role::none);
        const auto exchange = fixture.send_hedged();
        fixture.call(1).sent = false;
        section("the first attempt fails while the second has no connection", [&] {
            fixture.call(0).fail(call_progress::maybe_sent);
            CPPUNIT_ASSERT(!exchange->is_finished);
        });
        section("the second attempt is given up, and does not count", [&] {
            const auto end = std::chrono::steady_clock::now() + 1s;
            while (!fixture.call(1).is_cancelled && std::chrono::steady_clock::now() < end) {
                const auto timer = fixture.loop->run_after(5ms, [] {});
                fixture.loop->run_once();
            }
            CPPUNIT_ASSERT(fixture.call(1).is_cancelled);
            CPPUNIT_ASSERT_EQUAL(std::size_t{3}, fixture.client.calls.size());
            CPPUNIT_ASSERT_EQUAL(std::uint32_t{1}, fixture.used_slots());
        });
        section("another server answers", [&] {
            fixture.call(2).respond(200, signed_response, "third");
            CPPUNIT_ASSERT_EQUAL(std::string{"third"}, exchange->sent_response.body);
        });
    }

    void suspects_no_server_for_an_error_of_the_caller()
    {
        const auto count_suspected_after = [](int status) {
            constexpr std::size_t request_count = 14; // more than enough failures for one of the two servers
            hedging_fixture fixture;
            for (std::size_t sent = 1; sent <= request_count; ++sent) {
                const auto exchange = fixture.send();
                fixture.wait_for_hedge();
                if (fixture.client.calls.size() < 2 * sent) {
                    break; // a suspected server gets no second attempt
                }
                fixture.call(2 * sent - 1).respond(status, signed_response, "no such order");
                exchange->caller_left_callback();
            }
            return std::ranges::count_if(fixture.pool.candidates("desk", 0, {}), [](const auto& candidate) {
                return candidate.is_excluded || candidate.is_probing;
            });
        };
        section("second servers answer with status 404",
                [&] { CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{0}, std::ptrdiff_t{count_suspected_after(404)}); });
        section("second servers answer with status 500",
                [&] { CPPUNIT_ASSERT(count_suspected_after(500) > 0); });
    }

    void is_true_about_execution()
    {
        section("the first server refuses while the second may run it, and that is lost: not 'not run'", [] {
            hedging_fixture fixture;
            fixture.active_route.max_attempts = 2;
            const auto exchange = fixture.send_hedged();
            fixture.call(0).respond(503, refusal, {});
            CPPUNIT_ASSERT(!exchange->is_finished);
            fixture.call(1).fail(call_progress::maybe_sent);
            CPPUNIT_ASSERT(exchange->sent_response.status != 503);
        });
        section("both refuse: it has not run", [] {
            hedging_fixture fixture;
            const auto exchange = fixture.send_hedged();
            while (fixture.retries.try_spend("desk")) {
            }
            fixture.call(0).respond(503, refusal, {});
            fixture.call(1).respond(503, refusal, {});
            CPPUNIT_ASSERT_EQUAL(503, exchange->sent_response.status);
        });
        section("two attempts are all that the route allows", [] {
            hedging_fixture fixture;
            fixture.send_hedged();
            fixture.call(0).fail(call_progress::maybe_sent);
            fixture.call(1).fail(call_progress::maybe_sent);
            CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fixture.client.calls.size());
        });
    }

    void leaves_other_requests_alone()
    {
        const auto count_calls = [](const std::function<void(hedging_fixture&)>& change) {
            hedging_fixture fixture;
            change(fixture);
            fixture.send();
            fixture.wait_for_hedge();
            return fixture.client.calls.size();
        };
        section("a request that may run once", [&] {
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, count_calls([](auto& fixture) {
                                     fixture.active_route.kind = route_kind::non_idempotent;
                                 }));
        });
        section("a route that allows one attempt", [&] {
            CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                                 count_calls([](auto& fixture) { fixture.active_route.max_attempts = 1; }));
        });
        section("a gateway whose settings do not ask for it", [&] {
            CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                                 count_calls([](auto& fixture) { fixture.hedges.set_policy({}); }));
        });
        section("there is no other server", [&] {
            CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                                 count_calls([](auto& fixture) { fixture.remove_server("b"); }));
        });
        section("the other server has no free slot, though most of the service's are free", [&] {
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, count_calls([](auto& fixture) {
                                     fixture.add_server("a", engine_role::none, 20);
                                     fixture.pool.begin_request("b", false);
                                     fixture.pool.begin_request("b", false);
                                 }));
        });
        section("the other server is suspected to be down", [&] {
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, count_calls([](auto& fixture) {
                                     fixture.add_server("a", engine_role::none, 20);
                                     fixture.pool.record_outcome("b", server_outcome::unresponsive);
                                     fixture.pool.record_outcome("b", server_outcome::unresponsive);
                                 }));
        });
        section("the key of the caller", [] {
            for (const bool is_taken_away : {false, true}) {
                section(is_taken_away ? "has been taken away meanwhile" : "is still known", [&] {
                    hedging_fixture fixture;
                    const organisation bank{"bank", {}, {digest_of_key("k1")}};
                    fixture.configure(1, {bank});
                    fixture.key = "k1";
                    fixture.send();
                    if (is_taken_away) {
                        fixture.configure(2, {});
                    }
                    fixture.wait_for_hedge();
                    CPPUNIT_ASSERT_EQUAL(std::size_t{is_taken_away ? 1U : 2U}, fixture.client.calls.size());
                });
            }
        });
        section("the retry budget is needed for failures", [&] {
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, count_calls([](auto& fixture) {
                                     while (fixture.retries.try_spend("desk")) {
                                     }
                                 }));
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(hedge_tests);

} // namespace

} // namespace tanager
