#include "base/digest.h"
#include "base/mocks/manual_clock.h"
#include "base/mocks/seeded_random.h"
#include "gateway/mocks/forwarding_fixture.h"
#include "testing/section.h"

#include <cppunit/extensions/HelperMacros.h>
#include <random>

namespace tanager {

namespace {

using namespace std::chrono_literals;
using testing::section;

// Counts what it was given.
class place_counter final : public slot_listener {
public:
    void on_slot_granted(const slot_grant& /*place*/) override
    {
        ++this->places;
    }

    void on_slot_denied(placement_error /*miss*/) override
    {
        ++this->misses;
    }

    int places = 0;
    int misses = 0;
};

const http_headers own_answer{{"id", "r1"}, {"signed", "1"}};

class gateway_tests : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(gateway_tests);
    CPPUNIT_TEST(passes_an_answer_on);
    CPPUNIT_TEST(runs_a_non_idempotent_request_once);
    CPPUNIT_TEST(repeats_an_idempotent_request);
    CPPUNIT_TEST(keeps_within_the_retry_budget);
    CPPUNIT_TEST(never_passes_on_what_belongs_to_another);
    CPPUNIT_TEST(rejects_at_once_without_servers);
    CPPUNIT_TEST(ends_at_the_deadline);
    CPPUNIT_TEST(cancels_for_a_caller_that_left);
    CPPUNIT_TEST(stays_with_a_slow_server_when_no_other_has_room);
    CPPUNIT_TEST(resumes_a_stream);
    CPPUNIT_TEST(cuts_a_stream_that_may_not_be_resumed);
    CPPUNIT_TEST(reads_a_prompt_apart);
    CPPUNIT_TEST(gives_a_long_output_its_place_in_a_burst);
    CPPUNIT_TEST(serves_late_prompts_from_idle_room);
    CPPUNIT_TEST(continues_a_late_stream_in_an_overload);
    CPPUNIT_TEST(gives_every_place_back);
    CPPUNIT_TEST(collects_an_answer_without_end);
    CPPUNIT_TEST(moves_a_stream_off_an_engine_that_is_only_slow);
    CPPUNIT_TEST_SUITE_END();

public:
    void passes_an_answer_on()
    {
        section("a server answers, with an error of its own or not", [] {
            for (const int status : {200, 404, 500}) {
                forwarding_fixture gateway;
                const auto exchange = gateway.send();
                gateway.call(0).respond(status, own_answer, "text");
                CPPUNIT_ASSERT(exchange->is_finished);
                CPPUNIT_ASSERT_EQUAL(status, exchange->sent_response.status);
                CPPUNIT_ASSERT_EQUAL(std::string{"text"}, exchange->sent_response.body);
                CPPUNIT_ASSERT_EQUAL(1, gateway.finished_requests);
            }
        });
    }

    void runs_a_non_idempotent_request_once()
    {
        section("the connection breaks after the request may have left", [] {
            forwarding_fixture gateway;
            const auto exchange = gateway.send();
            gateway.call(0).fail(call_progress::maybe_sent);
            section("it is not sent again, and nobody claims that it did not run", [&] {
                CPPUNIT_ASSERT_EQUAL(std::size_t{1}, gateway.client.calls.size());
                CPPUNIT_ASSERT_EQUAL(502, exchange->sent_response.status);
            });
        });
        section("the server says that it did not run it", [] {
            forwarding_fixture gateway;
            const auto exchange = gateway.send();
            gateway.call(0).respond(503, {{"id", "r1"}, {"not-run", "1"}}, "");
            section("another server gets it", [&] {
                CPPUNIT_ASSERT(gateway.server_of(gateway.call(0)) != gateway.server_of(gateway.call(1)));
                gateway.call(1).respond(200, own_answer, "text");
                CPPUNIT_ASSERT_EQUAL(200, exchange->sent_response.status);
            });
        });
        section("no connection was made", [] {
            forwarding_fixture gateway;
            const auto exchange = gateway.send();
            gateway.call(0).fail(call_progress::not_sent);
            gateway.call(1).fail(call_progress::not_sent);
            section("with no server left, it is rejected as not run",
                    [&] { CPPUNIT_ASSERT_EQUAL(503, exchange->sent_response.status); });
        });
        section("one attempt was lost after a refusal", [] {
            forwarding_fixture gateway;
            const auto exchange = gateway.send();
            gateway.call(0).respond(421, {}, "");
            gateway.call(1).fail(call_progress::maybe_sent);
            CPPUNIT_ASSERT_EQUAL(502, exchange->sent_response.status);
            CPPUNIT_ASSERT_EQUAL(std::size_t{2}, gateway.client.calls.size());
        });
    }

    void repeats_an_idempotent_request()
    {
        section("an idempotent request meets a broken connection, or a server's failure", [] {
            for (const bool is_broken : {true, false}) {
                forwarding_fixture gateway;
                gateway.active_route.kind = route_kind::idempotent;
                const auto exchange = gateway.send();
                if (is_broken) {
                    gateway.call(0).fail(call_progress::maybe_sent);
                } else {
                    gateway.call(0).respond(500, own_answer, "failed");
                }
                gateway.call(1).respond(200, own_answer, "text");
                CPPUNIT_ASSERT_EQUAL(std::string{"text"}, exchange->sent_response.body);
            }
        });
        section("a failure that repeats is passed on", [] {
            forwarding_fixture gateway;
            gateway.active_route.kind = route_kind::idempotent;
            const auto exchange = gateway.send();
            gateway.call(0).respond(500, own_answer, "failed");
            gateway.call(1).respond(500, own_answer, "failed");
            CPPUNIT_ASSERT_EQUAL(500, exchange->sent_response.status);
            CPPUNIT_ASSERT_EQUAL(std::size_t{2}, gateway.client.calls.size());
        });
    }

    void keeps_within_the_retry_budget()
    {
        section("a service whose servers all fail gets no flood of repeats", [] {
            forwarding_fixture gateway;
            gateway.retries = retry_budget{0.0, forwarding_fixture::retry_reserve};
            gateway.active_route.kind = route_kind::idempotent;
            for (int count = 0; count < 10; ++count) {
                gateway.send();
                while (gateway.client.calls.back()->handler != nullptr &&
                       !gateway.client.calls.back()->is_cancelled) {
                    const auto last = gateway.client.calls.back();
                    last->respond(500, own_answer, "failed");
                    last->is_cancelled = true;
                }
            }
            CPPUNIT_ASSERT_EQUAL(std::size_t{13}, gateway.client.calls.size());
        });
    }

    void never_passes_on_what_belongs_to_another()
    {
        section("an answer names another request, or is not signed", [] {
            for (const http_headers& headers :
                 {http_headers{{"id", "r0"}, {"signed", "1"}}, http_headers{{"id", "r1"}}, http_headers{}}) {
                forwarding_fixture gateway;
                const auto exchange = gateway.send();
                gateway.call(0).respond(200, headers, "alien");
                CPPUNIT_ASSERT_EQUAL(502, exchange->sent_response.status);
                CPPUNIT_ASSERT(exchange->sent_response.body.find("alien") == std::string::npos);
                CPPUNIT_ASSERT(gateway.call(0).is_cancelled);
            }
        });
    }

    void rejects_at_once_without_servers()
    {
        section("no server of the service takes work", [] {
            forwarding_fixture gateway;
            gateway.pool.servers().apply({"a", std::nullopt});
            gateway.pool.servers().apply({"b", std::nullopt});
            const auto exchange = gateway.send();
            CPPUNIT_ASSERT(exchange->is_finished);
            CPPUNIT_ASSERT_EQUAL(503, exchange->sent_response.status);
            CPPUNIT_ASSERT(find_header(exchange->sent_response.headers, "retry-after") != "0");
        });
        section("all places are taken and none comes free", [] {
            forwarding_fixture gateway;
            for (int count = 0; count < 8; ++count) {
                gateway.send();
            }
            const auto exchange = gateway.send();
            CPPUNIT_ASSERT(exchange->is_finished);
            CPPUNIT_ASSERT_EQUAL(503, exchange->sent_response.status);
            CPPUNIT_ASSERT_EQUAL(std::size_t{8}, gateway.client.calls.size());
        });
    }

    void ends_at_the_deadline()
    {
        section("a server does not answer until the deadline", [] {
            forwarding_fixture gateway;
            const auto exchange = gateway.send(5ms);
            while (gateway.finished_requests == 0) {
                gateway.loop->run_once();
            }
            CPPUNIT_ASSERT_EQUAL(504, exchange->sent_response.status);
            CPPUNIT_ASSERT(gateway.call(0).is_cancelled);
        });
    }

    void cancels_for_a_caller_that_left()
    {
        section("a caller leaves while its request runs", [] {
            forwarding_fixture gateway;
            const auto exchange = gateway.send();
            exchange->caller_left_callback();
            CPPUNIT_ASSERT(gateway.call(0).is_cancelled);
            CPPUNIT_ASSERT(exchange->is_aborted);
            CPPUNIT_ASSERT_EQUAL(1, gateway.finished_requests);
        });
    }

    // Found on Yesil Dongu, trouble-3: 113 requests were broken off for a second attempt that had no place.
    void stays_with_a_slow_server_when_no_other_has_room()
    {
        section("a server takes long over an idempotent request", [] {
            for (const bool has_other : {false, true}) {
                forwarding_fixture gateway;
                gateway.active_route.kind = route_kind::idempotent;
                gateway.active_route.latency_objective = 1ms;
                if (!has_other) {
                    gateway.pool.servers().apply({"b", std::nullopt});
                    gateway.pool.servers().apply({"a", std::nullopt});
                    gateway.add_server("a", engine_role::none);
                }
                const auto exchange = gateway.send();
                bool has_waited = false;
                const auto end_of_wait = gateway.loop->run_after(350ms, [&] { has_waited = true; });
                while (!has_waited) {
                    gateway.loop->run_once();
                }
                section(
                    has_other ? "another one gets it" : "it stays there, and its answer is passed on", [&] {
                        CPPUNIT_ASSERT_EQUAL(has_other, gateway.call(0).is_cancelled);
                        CPPUNIT_ASSERT_EQUAL(std::size_t{has_other ? 2U : 1U}, gateway.client.calls.size());
                        gateway.client.calls.back()->respond(200, own_answer, "text");
                        CPPUNIT_ASSERT_EQUAL(200, exchange->sent_response.status);
                    });
            }
        });
    }

    void resumes_a_stream()
    {
        section("a resumable stream breaks in the middle of its third event", [] {
            forwarding_fixture gateway;
            gateway.active_route.kind = route_kind::streaming;
            gateway.active_route.is_resumable = true;
            const auto exchange = gateway.send();
            auto& first = gateway.call(0);
            first.handler->on_head(200, own_answer);
            first.handler->on_data("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda");
            first.fail(call_progress::maybe_sent);
            section("another server goes on behind the second one", [&] {
                CPPUNIT_ASSERT_EQUAL(std::string{"2"},
                                     find_header(gateway.call(1).request.headers, "resume"));
                gateway.call(1).respond(200, own_answer, "id: 3\ndata: c\n\n");
                CPPUNIT_ASSERT(exchange->is_finished);
                CPPUNIT_ASSERT_EQUAL(std::string{"id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n"},
                                     exchange->sent_response.body);
            });
        });
    }

    void cuts_a_stream_that_may_not_be_resumed()
    {
        section("a stream that may run once breaks after its first event", [] {
            forwarding_fixture gateway;
            gateway.active_route.kind = route_kind::streaming;
            const auto exchange = gateway.send();
            gateway.call(0).handler->on_head(200, own_answer);
            gateway.call(0).handler->on_data("id: 1\ndata: a\n\n");
            gateway.call(0).fail(call_progress::maybe_sent);
            CPPUNIT_ASSERT(exchange->is_aborted);
            CPPUNIT_ASSERT(!exchange->is_finished);
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, gateway.client.calls.size());
        });
    }

    void reads_a_prompt_apart()
    {
        const auto make_fleet = [](forwarding_fixture& gateway) {
            gateway.pool.servers().replace_all({});
            gateway.add_server("d", engine_role::decode);
            gateway.add_server("p", engine_role::prefill);
            gateway.active_route.kind = route_kind::streaming;
            gateway.prompt = {5, 6'000, 2'000, 10};
            gateway.is_model = true;
        };
        section("a long prompt goes to the reader, then with its cache to the generator", [&] {
            forwarding_fixture gateway;
            make_fleet(gateway);
            const auto exchange = gateway.send();
            CPPUNIT_ASSERT_EQUAL(std::string{"1"},
                                 find_header(gateway.call(0).request.headers, "prefill-only"));
            CPPUNIT_ASSERT_EQUAL(std::string{"p"}, gateway.server_of(gateway.call(0)));
            gateway.call(0).respond(200, {}, "h7");
            CPPUNIT_ASSERT_EQUAL(std::string{"h7"}, find_header(gateway.call(1).request.headers, "cache"));
            gateway.call(1).respond(200, own_answer, "id: 1\ndata: a\n\n");
            CPPUNIT_ASSERT(exchange->is_finished);
            CPPUNIT_ASSERT_EQUAL(std::size_t{2}, gateway.client.calls.size());
        });
        section("a reader that refuses or breaks off costs only its help", [&] {
            for (const bool is_broken : {true, false}) {
                forwarding_fixture gateway;
                make_fleet(gateway);
                gateway.send();
                if (is_broken) {
                    gateway.call(0).fail(call_progress::maybe_sent);
                } else {
                    gateway.call(0).respond(503, {{"not-run", "1"}}, "");
                }
                CPPUNIT_ASSERT_EQUAL(std::string{"d"}, gateway.server_of(gateway.call(1)));
                CPPUNIT_ASSERT_EQUAL(std::string{}, find_header(gateway.call(1).request.headers, "cache"));
            }
        });
        // Found by a hunt on Yesil Dongu (mix, seed 423288968007): each refusal cost two further arrivals,
        // and the budget counted one.
        section("a generator that refuses leaves the cache to another one", [&] {
            forwarding_fixture gateway;
            make_fleet(gateway);
            gateway.add_server("f", engine_role::decode);
            gateway.send();
            gateway.call(0).respond(200, {}, "h7");
            gateway.call(1).respond(503, {{"not-run", "1"}}, "");
            CPPUNIT_ASSERT_EQUAL(std::string{}, find_header(gateway.call(2).request.headers, "prefill-only"));
            CPPUNIT_ASSERT_EQUAL(std::string{"h7"}, find_header(gateway.call(2).request.headers, "cache"));
            CPPUNIT_ASSERT(gateway.server_of(gateway.call(1)) != gateway.server_of(gateway.call(2)));
        });
        section("a reader that refuses costs a retry, and without one the request is rejected as not run",
                [&] {
                    forwarding_fixture gateway;
                    make_fleet(gateway);
                    gateway.retries = retry_budget{0.0, 0.0};
                    const auto exchange = gateway.send();
                    gateway.call(0).respond(503, {{"not-run", "1"}}, "");
                    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, gateway.client.calls.size());
                    CPPUNIT_ASSERT_EQUAL(503, exchange->sent_response.status);
                    CPPUNIT_ASSERT(gateway.pool.local_loads().empty());
                });
        section("a cache that nobody takes is freed", [&] {
            forwarding_fixture gateway;
            make_fleet(gateway);
            const auto exchange = gateway.send();
            gateway.call(0).respond(200, {}, "h7");
            exchange->caller_left_callback();
            CPPUNIT_ASSERT_EQUAL(std::string{"DELETE"}, gateway.client.calls.back()->request.method);
        });
    }

    // A burst of short prompts waits for places, and a long output of a lower priority comes.
    void gives_a_long_output_its_place_in_a_burst()
    {
        section("an engine with two places, both taken", [] {
            forwarding_fixture gateway;
            gateway.add_server("d", engine_role::decode);
            auto check = gateway.short_prompt_request();
            auto draft = check;
            draft.prompt = {0, 0, 200, 6'000};
            draft.priority = 1;
            const auto first = std::make_shared<place_counter>();
            gateway.scheduler.request_slot(check, first);
            gateway.scheduler.request_slot(check, first);
            CPPUNIT_ASSERT_EQUAL(2, first->places);
            for (int count = 0; count < 10; ++count) {
                gateway.scheduler.release_slot(check, "d");
                gateway.scheduler.request_slot(check, first);
            }
            const auto waiting_check = std::make_shared<place_counter>();
            const auto waiting_draft = std::make_shared<place_counter>();
            gateway.scheduler.request_slot(check, waiting_check);
            gateway.scheduler.request_slot(check, waiting_check);
            gateway.scheduler.request_slot(draft, waiting_draft);
            CPPUNIT_ASSERT_EQUAL(std::size_t{3}, gateway.scheduler.queued_count());
            section("the place that comes free is the long output's", [&] {
                gateway.scheduler.release_slot(check, "d");
                CPPUNIT_ASSERT_EQUAL(1, waiting_draft->places);
                CPPUNIT_ASSERT_EQUAL(0, waiting_check->places);
            });
            section("and the next one a short prompt's", [&] {
                gateway.scheduler.release_slot(check, "d");
                CPPUNIT_ASSERT_EQUAL(1, waiting_check->places);
            });
        });
    }

    // An overload: callers that were rejected come back after their objective has passed, among first
    // attempts.
    void serves_late_prompts_from_idle_room()
    {
        // Two plain servers with two places each belong to the same service here.
        section("a service with twenty places, sixteen of them on one engine", [] {
            forwarding_fixture gateway;
            backend_server engine;
            engine.id = "d";
            engine.service = "desk";
            engine.slots = 16;
            engine.role = engine_role::decode;
            gateway.pool.servers().apply({"d", engine});
            auto first = gateway.short_prompt_request();
            auto late = first;
            late.has_missed_objective = true;
            const auto given = std::make_shared<place_counter>();
            section("both are served until fourteen are filled", [&] {
                for (int count = 0; count < 7; ++count) {
                    gateway.scheduler.request_slot(first, given);
                    gateway.scheduler.request_slot(late, given);
                }
                CPPUNIT_ASSERT_EQUAL(14, given->places);
            });
            section("beyond that a late one is rejected at once, and does not wait", [&] {
                gateway.scheduler.request_slot(late, given);
                CPPUNIT_ASSERT_EQUAL(1, given->misses);
                CPPUNIT_ASSERT_EQUAL(std::size_t{0}, gateway.scheduler.queued_count());
            });
            section("and a first attempt is served", [&] {
                gateway.scheduler.request_slot(first, given);
                CPPUNIT_ASSERT_EQUAL(15, given->places);
            });
        });
    }

    // A server breaks off while callers ask for more than there are places: what has begun goes before what
    // has not.
    void continues_a_late_stream_in_an_overload()
    {
        section("a second attempt whose objective is lost has begun on one of two engines", [] {
            forwarding_fixture gateway;
            gateway.remove_server("a");
            gateway.remove_server("b");
            gateway.add_server("d", engine_role::decode, 10);
            gateway.add_server("e", engine_role::decode, 10);
            gateway.is_model = true;
            gateway.prompt = {0, 0, 200, 10};
            gateway.active_route.kind = route_kind::streaming;
            gateway.active_route.is_resumable = true;
            for (int count = 0; count < 100; ++count) {
                gateway.caller_timeouts.record("orders", 2'000ms);
            }
            const auto exchange = gateway.send(10s, 500ms);
            gateway.call(0).handler->on_head(200, own_answer);
            gateway.call(0).handler->on_data("id: 1\ndata: a\n\n");
            section("and breaks off when most of the places are filled", [&] {
                const auto others = std::make_shared<place_counter>();
                auto other = gateway.short_prompt_request();
                for (int count = 0; count < 16; ++count) {
                    gateway.scheduler.request_slot(other, others);
                }
                CPPUNIT_ASSERT_EQUAL(16, others->places);
                gateway.call(0).fail(call_progress::maybe_sent);
                section("it goes on at the other engine", [&] {
                    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, gateway.client.calls.size());
                    gateway.call(1).respond(200, own_answer, "id: 2\ndata: b\n\n");
                    CPPUNIT_ASSERT(exchange->is_finished);
                });
            });
        });
    }

    void moves_a_stream_off_an_engine_that_is_only_slow()
    {
        for (const bool has_company : {false, true}) {
            forwarding_fixture gateway;
            gateway.active_route.kind = route_kind::streaming;
            gateway.active_route.is_resumable = true;
            gateway.active_route.gap_objective = 200ms;
            gateway.remove_server("b");
            const auto stalled = gateway.send();
            const auto lively = gateway.send();
            gateway.add_server("b", engine_role::none);
            for (const std::size_t index : {0U, 1U}) {
                gateway.call(index).handler->on_head(200, own_answer);
                gateway.call(index).handler->on_data("id: 1\ndata: x\n\n");
            }
            const auto wait = [&](std::chrono::milliseconds span) {
                gateway.time.advance(span);
                bool is_over = false;
                const auto timer = gateway.loop->run_after(span, [&] { is_over = true; });
                while (!is_over) {
                    gateway.loop->run_once();
                }
            };
            wait(500ms);
            if (has_company) {
                gateway.call(1).handler->on_data("id: 2\ndata: x\n\n");
            }
            wait(650ms);
            section(has_company ? "its engine sends to another stream, so it stays" : "its engine is gone",
                    [&] { CPPUNIT_ASSERT_EQUAL(!has_company, gateway.call(0).is_cancelled); });
            wait(700ms);
            section("in the end it goes on elsewhere, before its caller gives up",
                    [&] { CPPUNIT_ASSERT(gateway.call(0).is_cancelled); });
        }
    }

    void collects_an_answer_without_end()
    {
        const std::string piece(10'000, 'x');
        const auto send_without_end = [&](forwarding_fixture& site) {
            const auto receiver = site.call(0).handler;
            receiver->on_head(200, own_answer);
            for (int count = 0; count < 200 && !site.call(0).is_cancelled; ++count) {
                receiver->on_data(piece);
            }
        };
        section("a body that never ends", [&] {
            forwarding_fixture site;
            const auto exchange = site.send();
            send_without_end(site);
            CPPUNIT_ASSERT(site.call(0).is_cancelled);
            CPPUNIT_ASSERT_EQUAL(502, exchange->sent_response.status);
            CPPUNIT_ASSERT_EQUAL(std::size_t{0}, site.response_buffer_budget.used_bytes());
        });
        section("an event that never ends", [&] {
            forwarding_fixture site;
            site.active_route.kind = route_kind::streaming;
            const auto exchange = site.send();
            send_without_end(site);
            CPPUNIT_ASSERT(site.call(0).is_cancelled);
            CPPUNIT_ASSERT_EQUAL(502, exchange->sent_response.status);
        });
        section("the body of a refusal is not kept, and the request goes on elsewhere", [&] {
            forwarding_fixture site;
            const auto exchange = site.send();
            const auto receiver = site.call(0).handler;
            auto refusal = own_answer;
            refusal.push_back({"not-run", "1"});
            receiver->on_head(503, refusal);
            receiver->on_data(piece);
            CPPUNIT_ASSERT_EQUAL(std::size_t{0}, site.response_buffer_budget.used_bytes());
            receiver->on_end();
            site.call(1).respond(200, own_answer, "ok");
            CPPUNIT_ASSERT_EQUAL(200, exchange->sent_response.status);
        });
    }

    void gives_every_place_back()
    {
        section("a thousand requests of all kinds end in all ways", [] {
            forwarding_fixture gateway;
            gateway.add_server("d", engine_role::decode);
            gateway.add_server("p", engine_role::prefill);
            gateway.prompt = {5, 6'000, 2'000, 10};
            std::mt19937 dice{99};
            for (int count = 0; count < 1'000; ++count) {
                gateway.time.advance(50ms);
                gateway.is_model = dice() % 2 == 0;
                gateway.active_route.kind = static_cast<route_kind>(dice() % 3);
                gateway.active_route.is_resumable = dice() % 2 == 0;
                const auto before = gateway.finished_requests;
                gateway.client.calls.clear();
                const auto exchange = gateway.send();
                for (int step = 0; step < 20 && gateway.finished_requests == before; ++step) {
                    do_something(gateway, *exchange, dice());
                }
                if (gateway.finished_requests == before) {
                    exchange->caller_left_callback();
                }
                CPPUNIT_ASSERT_EQUAL(before + 1, gateway.finished_requests);
                CPPUNIT_ASSERT(gateway.pool.local_loads().empty());
            }
        });
    }

private:
    static void do_something(forwarding_fixture& gateway, const fake_exchange& exchange, unsigned draw)
    {
        if (gateway.client.calls.empty()) {
            return;
        }
        const auto call = gateway.client.calls.back();
        if (call->handler == nullptr) {
            exchange.caller_left_callback();
            return;
        }
        switch (draw % 6) {
        case 0:
            call->respond(200, own_answer, "id: 1\ndata: a\n\n");
            break;
        case 1:
            call->respond(500, own_answer, "failed");
            break;
        case 2:
            call->respond(503, {{"not-run", "1"}}, "");
            break;
        case 3:
            call->fail(call_progress::not_sent);
            break;
        case 4:
            call->fail(call_progress::maybe_sent);
            break;
        default:
            exchange.caller_left_callback();
            break;
        }
        call->handler.reset();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(gateway_tests);

} // namespace

} // namespace tanager
