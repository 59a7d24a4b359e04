#include "gateway/mocks/forwarding_fixture.h"
#include "testing/section.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>

namespace tanager {

namespace {

using namespace std::chrono_literals;
using testing::section;

class organisation_fixture : public forwarding_fixture {
public:
    organisation_fixture()
    {
        this->key = "k1";
        this->configure({{"bank", 1, {digest_of_key("k1")}}, {"shop", {}, {digest_of_key("k2")}}});
    }

    void configure(std::vector<organisation> organisations)
    {
        route_table table;
        table.version = ++this->version;
        table.organisations = organisation_list{std::move(organisations), {}};
        CPPUNIT_ASSERT(this->routes.apply(std::move(table)));
    }

    // Replaces the servers by one engine whose slots are taken, and returns a request that waits for one.
    std::shared_ptr<fake_exchange> send_to_wait()
    {
        this->remove_server("a");
        this->remove_server("b");
        this->add_server("e", engine_role::decode, 1);
        this->is_model = true;
        this->prompt = {0, 0, 200, 10};
        this->active_route.latency_objective = 5s;
        this->send(10s, {}, "r0");
        for (int count = 0; count < 10; ++count) { // a short wait is expected
            this->scheduler.release_slot(this->short_prompt_request(), "e");
            this->send(10s, {}, "filler");
        }
        auto waiting = this->send();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->scheduler.queued_count());
        return waiting;
    }

    // Replaces the servers by a prefill and a decode engine, for prompts that are worth a separate prefill.
    void use_separate_prefill()
    {
        this->remove_server("a");
        this->remove_server("b");
        this->add_server("p", engine_role::prefill);
        this->add_server("e", engine_role::decode);
        this->is_model = true;
        this->prompt = {5, 6'000, 3'000, 10};
    }

    void release_slot()
    {
        this->scheduler.release_slot(this->short_prompt_request(), "e");
        this->scheduler.process_queues();
    }

    static std::string organisation_of(const fake_client::fake_call& call)
    {
        return find_header(call.request.headers, "organisation");
    }

private:
    std::uint64_t version = 0;
};

class caller_identity_tests : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(caller_identity_tests);
    CPPUNIT_TEST(names_the_organisation_on_every_path);
    CPPUNIT_TEST(checks_keys_again_before_an_attempt);
    CPPUNIT_TEST(holds_back_requests_while_keys_are_uncertain);
    CPPUNIT_TEST(counts_the_requests_of_organisations);
    CPPUNIT_TEST(leaves_requests_alone_without_organisations);
    CPPUNIT_TEST_SUITE_END();

public:
    void names_the_organisation_on_every_path()
    {
        section("a request is run", [] {
            organisation_fixture fixture;
            fixture.active_route.kind = route_kind::idempotent;
            const auto exchange = fixture.send();
            CPPUNIT_ASSERT_EQUAL(std::string{"bank"}, organisation_fixture::organisation_of(fixture.call(0)));
            section("and run again on another server after a failure", [&] {
                fixture.call(0).fail(call_progress::maybe_sent);
                CPPUNIT_ASSERT_EQUAL(std::string{"bank"},
                                     organisation_fixture::organisation_of(fixture.call(1)));
            });
        });
        section("a long prompt is prefilled, and decoded elsewhere", [] {
            organisation_fixture fixture;
            fixture.use_separate_prefill();
            fixture.send();
            fixture.call(0).respond(200, {{"id", "r1"}, {"signed", "1"}}, "cache");
            for (const std::size_t index : {0U, 1U}) {
                CPPUNIT_ASSERT_EQUAL(std::string{"bank"},
                                     organisation_fixture::organisation_of(fixture.call(index)));
            }
        });
    }

    void checks_keys_again_before_an_attempt()
    {
        section("a key is taken away while its request waits for a slot", [&] {
            organisation_fixture fixture;
            const auto waiting = fixture.send_to_wait();
            const auto call_count = fixture.client.calls.size();
            fixture.configure({{"shop", {}, {digest_of_key("k2")}}});
            fixture.release_slot();
            section("the request is rejected as not run", [&] {
                CPPUNIT_ASSERT_EQUAL(call_count, fixture.client.calls.size());
                CPPUNIT_ASSERT_EQUAL(503, waiting->sent_response.status);
                CPPUNIT_ASSERT_EQUAL(std::string{"caller_unknown"}, waiting->sent_response.body);
            });
            section("its slot is free for others", [&] {
                fixture.key = "k2";
                fixture.send();
                CPPUNIT_ASSERT_EQUAL(std::string{"shop"},
                                     organisation_fixture::organisation_of(fixture.call(call_count)));
            });
        });
        section("a key moves while its request waits: the server is told the new organisation", [&] {
            organisation_fixture fixture;
            fixture.send_to_wait();
            const auto call_count = fixture.client.calls.size();
            fixture.configure({{"shop", {}, {digest_of_key("k1"), digest_of_key("k2")}}});
            fixture.release_slot();
            CPPUNIT_ASSERT_EQUAL(std::string{"shop"},
                                 organisation_fixture::organisation_of(fixture.call(call_count)));
        });
        section("a key is taken away while its prompt is prefilled", [&] {
            organisation_fixture fixture;
            fixture.use_separate_prefill();
            const auto exchange = fixture.send();
            CPPUNIT_ASSERT_EQUAL(std::string{"bank"}, organisation_fixture::organisation_of(fixture.call(0)));
            fixture.configure({});
            fixture.call(0).respond(200, {{"id", "r1"}, {"signed", "1"}}, "cache");
            section("it is not sent to its decode engine, and its KV cache is released", [&] {
                CPPUNIT_ASSERT_EQUAL(503, exchange->sent_response.status);
                CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fixture.client.calls.size());
                CPPUNIT_ASSERT_EQUAL(std::string{"DELETE"}, fixture.call(1).request.method);
            });
        });
        section("a key is taken away while its request runs: a further attempt goes on", [&] {
            organisation_fixture fixture;
            fixture.active_route.kind = route_kind::idempotent;
            fixture.send();
            fixture.configure({});
            fixture.call(0).fail(call_progress::maybe_sent);
            CPPUNIT_ASSERT_EQUAL(std::string{"bank"}, organisation_fixture::organisation_of(fixture.call(1)));
        });
        section("organisations come into force while a request without a key runs", [&] {
            forwarding_fixture fixture;
            fixture.active_route.kind = route_kind::idempotent;
            const auto exchange = fixture.send();
            route_table table;
            table.version = 1;
            table.organisations.emplace();
            CPPUNIT_ASSERT(fixture.routes.apply(std::move(table)));
            fixture.call(0).fail(call_progress::maybe_sent);
            section("it is not run again, and its caller learns that it may have run", [&] {
                CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.client.calls.size());
                CPPUNIT_ASSERT_EQUAL(502, exchange->sent_response.status);
            });
        });
    }

    void counts_the_requests_of_organisations()
    {
        section("requests of an organisation are served, refused and failed", [] {
            organisation_fixture fixture;
            const auto count = [&](const std::string& outcome) {
                return fixture.metrics.counter_value("tanager_organisation_requests_total",
                                                     R"(organisation="bank",route="orders",outcome=")" +
                                                         outcome + "\"");
            };
            fixture.send();
            fixture.call(0).respond(200, {{"id", "r1"}, {"signed", "1"}}, "text");
            fixture.send();
            fixture.call(1).fail(call_progress::maybe_sent);
            fixture.remove_server("a");
            fixture.remove_server("b");
            fixture.send();
            for (const auto* const outcome : {"served", "failed", "refused"}) {
                CPPUNIT_ASSERT_EQUAL_MESSAGE(outcome, std::uint64_t{1}, count(outcome));
            }
        });
    }

    void holds_back_requests_while_keys_are_uncertain()
    {
        section("a request waits while the configuration grows too old", [] {
            organisation_fixture fixture;
            fixture.configuration_current_at = fixture.time.now() - 4'500ms;
            const auto waiting = fixture.send_to_wait();
            const auto call_count = fixture.client.calls.size();
            fixture.time.advance(1s);
            fixture.release_slot();
            section("it was received while that was young, so it runs", [&] {
                CPPUNIT_ASSERT_EQUAL(call_count + 1, fixture.client.calls.size());
                CPPUNIT_ASSERT(!waiting->is_finished);
            });
        });
        section("a request waits, and the gateway learns that its configuration is not the newest", [] {
            organisation_fixture fixture;
            const auto waiting = fixture.send_to_wait();
            const auto call_count = fixture.client.calls.size();
            fixture.configuration_current_at.reset();
            fixture.release_slot();
            section("it is rejected as not run", [&] {
                CPPUNIT_ASSERT_EQUAL(call_count, fixture.client.calls.size());
                CPPUNIT_ASSERT_EQUAL(503, waiting->sent_response.status);
                CPPUNIT_ASSERT_EQUAL(std::string{"configuration_outdated"}, waiting->sent_response.body);
            });
        });
    }

    void leaves_requests_alone_without_organisations()
    {
        section("a configuration has no organisations: nothing is said of them", [] {
            forwarding_fixture fixture;
            fixture.key = "k1";
            fixture.send();
            CPPUNIT_ASSERT(std::ranges::none_of(fixture.call(0).request.headers,
                                                [](const auto& row) { return row.name == "organisation"; }));
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(caller_identity_tests);

} // namespace

} // namespace tanager
