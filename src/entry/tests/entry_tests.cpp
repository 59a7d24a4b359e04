#include "base/mocks/manual_clock.h"
#include "base/mocks/recording_invariant_monitor.h"
#include "base/system_random.h"
#include "entry/internal/agent_loads.h"
#include "entry/internal/completion_request.h"
#include "entry/internal/request_dispatcher.h"
#include "entry/mocks/fake_agents.h"
#include "net/mocks/fake_exchange.h"
#include "testing/section.h"

#include <cppunit/extensions/HelperMacros.h>
#include <set>

using tanager::testing::section;

namespace tanager {

namespace {

// Runs request_dispatchers against fake agents and a fake caller.
struct dispatcher_fixture {
    dispatcher_fixture() : loop(std::move(*event_loop::create()))
    {
        this->settings.max_attempts = 3;
    }

    std::shared_ptr<fake_exchange> start(bool idempotent, bool stream = false)
    {
        auto exchange = std::make_shared<fake_exchange>(http_request{});
        pool_entry pool;
        pool.name = "p";
        pool.agents = {{"h1", "d", "h1", 0, false}, {"h2", "d", "h2", 1, false}, {"h3", "d", "h3", 2, false}};
        work_entry work;
        work.name = "w";
        work.work_class = "c";
        work.idempotent = idempotent;
        member_entry member;
        member.name = "midlands";
        identified_request request;
        request.received = {"id", exchange, this->time.now()};
        request.member = std::make_shared<const member_entry>(member);
        request.work = std::make_shared<const work_entry>(work);
        request.pool = std::make_shared<const pool_entry>(pool);
        request.backend_message = std::make_shared<const backend_request>();
        request.is_streaming = stream;
        request.deadline = this->time.now() + std::chrono::hours{1};
        const dispatch_context context{*this->loop,
                                       this->time,
                                       this->random,
                                       this->metrics,
                                       this->invariants,
                                       this->agents,
                                       this->client,
                                       this->retries,
                                       this->crashes,
                                       this->settings,
                                       7,
                                       this->last_attempt_sequence};
        std::make_shared<request_dispatcher>(context, request, [this] { ++this->ended_requests; })->start();
        return exchange;
    }

    fake_attempt& attempt(std::size_t index)
    {
        return *this->client.attempts.at(index);
    }

    std::unique_ptr<event_loop> loop;
    manual_clock time;
    system_random random{1};
    metrics_registry metrics;
    recording_invariant_monitor invariants;
    fake_agent_candidate_source agents;
    fake_agent_client client;
    retry_budget retries{0.1, 20};
    crash_history crashes{this->time, std::chrono::minutes{10}};
    entry_settings settings;
    std::uint64_t last_attempt_sequence = 0;
    int ended_requests = 0;
};

std::string outcome_of(const fake_exchange& exchange)
{
    return find_header(exchange.sent_response.headers, "Tanager-Outcome");
}

std::string code_of(const fake_exchange& exchange)
{
    return find_header(exchange.sent_response.headers, "Tanager-Code");
}

} // namespace

class entry_tests : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(entry_tests);
    CPPUNIT_TEST(forwards_complete_answer);
    CPPUNIT_TEST(retries_refused_attempts_on_other_hosts);
    CPPUNIT_TEST(retries_possibly_run_attempts_only_if_idempotent);
    CPPUNIT_TEST(resolves_attempt_after_lost_connection);
    CPPUNIT_TEST(drops_frames_of_other_attempts);
    CPPUNIT_TEST(aborts_started_stream_on_failure);
    CPPUNIT_TEST(retry_budget_bounds_retries);
    CPPUNIT_TEST(own_dispatches_correct_load_reports);
    CPPUNIT_TEST(validates_completion_bodies);
    CPPUNIT_TEST_SUITE_END();

public:
    void forwards_complete_answer()
    {
        dispatcher_fixture fixture;
        const auto exchange = fixture.start(true);
        fixture.attempt(0).send_complete_answer("{}");
        CPPUNIT_ASSERT_EQUAL(std::string{"{}"}, exchange->sent_response.body);
        CPPUNIT_ASSERT_EQUAL(std::string{"complete"}, outcome_of(*exchange));
        CPPUNIT_ASSERT_EQUAL(1, fixture.ended_requests);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, fixture.agents.open_pieces);
    }

    void retries_refused_attempts_on_other_hosts()
    {
        for (const bool idempotent : {true, false}) {
            dispatcher_fixture fixture;
            const auto exchange = fixture.start(idempotent);
            fixture.attempt(0).send_failure(result_code::agent_leaving, true);
            fixture.attempt(1).send_failure(result_code::agent_queue_full, true);
            section("each attempt goes to a different host", [&] {
                const std::set<std::string> hosts(fixture.client.dispatched_hosts.begin(),
                                                  fixture.client.dispatched_hosts.end());
                CPPUNIT_ASSERT_EQUAL(std::size_t{3}, hosts.size());
            });
            fixture.attempt(2).send_failure(result_code::agent_queue_full, true);
            CPPUNIT_ASSERT_EQUAL(std::string{"not-run"}, outcome_of(*exchange));
            CPPUNIT_ASSERT_EQUAL(std::string{"403"}, code_of(*exchange));
            CPPUNIT_ASSERT_EQUAL(std::size_t{3}, fixture.client.attempts.size());
            CPPUNIT_ASSERT(fixture.invariants.violations.empty());
        }
    }

    void retries_possibly_run_attempts_only_if_idempotent()
    {
        section("a non-idempotent request that may have run is not retried", [] {
            dispatcher_fixture fixture;
            const auto exchange = fixture.start(false);
            fixture.attempt(0).send_failure(result_code::backend_failed, false);
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.client.attempts.size());
            CPPUNIT_ASSERT_EQUAL(std::string{"unknown"}, outcome_of(*exchange));
        });
        section("an idempotent request that may have run is retried", [] {
            dispatcher_fixture fixture;
            const auto exchange = fixture.start(true);
            fixture.attempt(0).send_failure(result_code::backend_failed, false);
            fixture.attempt(1).send_complete_answer("[1]");
            CPPUNIT_ASSERT_EQUAL(std::string{"[1]"}, exchange->sent_response.body);
        });
        section("the outcome is unknown if a later attempt was refused but an earlier one may have run", [] {
            dispatcher_fixture fixture;
            const auto exchange = fixture.start(true);
            fixture.attempt(0).send_failure(result_code::backend_failed, false);
            fixture.attempt(1).send_failure(result_code::agent_leaving, true);
            fixture.attempt(2).send_failure(result_code::agent_leaving, true);
            CPPUNIT_ASSERT_EQUAL(std::string{"unknown"}, outcome_of(*exchange));
        });
        section("the outcome is unknown if the only attempt may have run", [] {
            dispatcher_fixture fixture;
            fixture.settings.max_attempts = 1;
            const auto exchange = fixture.start(true);
            fixture.attempt(0).send_failure(result_code::backend_failed, false);
            CPPUNIT_ASSERT_EQUAL(std::string{"unknown"}, outcome_of(*exchange));
        });
    }

    void resolves_attempt_after_lost_connection()
    {
        section("an attempt resolved as not run is retried", [] {
            dispatcher_fixture fixture;
            fixture.client.scripted_resolutions = {attempt_resolution::not_run};
            const auto exchange = fixture.start(false);
            fixture.attempt(0).disconnect();
            fixture.attempt(1).send_complete_answer("receipt");
            CPPUNIT_ASSERT_EQUAL(std::string{"receipt"}, exchange->sent_response.body);
        });
        section("an attempt resolved as may have run has an unknown outcome", [] {
            dispatcher_fixture fixture;
            fixture.client.scripted_resolutions = {attempt_resolution::may_have_run};
            const auto exchange = fixture.start(false);
            fixture.attempt(0).disconnect();
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.client.attempts.size());
            CPPUNIT_ASSERT_EQUAL(std::string{"unknown"}, outcome_of(*exchange));
            CPPUNIT_ASSERT_EQUAL(std::string{"506"}, code_of(*exchange));
        });
        section("the outcome is unknown, without a resolve call, if the agent was restarted", [] {
            dispatcher_fixture fixture;
            const auto exchange = fixture.start(false);
            fixture.agents.incarnations[fixture.client.dispatched_hosts.at(0)] = 2;
            fixture.attempt(0).disconnect();
            CPPUNIT_ASSERT_EQUAL(0, fixture.client.resolve_calls);
            CPPUNIT_ASSERT_EQUAL(std::string{"unknown"}, outcome_of(*exchange));
        });
        section("an idempotent request is retried without a resolve call", [] {
            dispatcher_fixture fixture;
            const auto exchange = fixture.start(true);
            fixture.attempt(0).disconnect();
            CPPUNIT_ASSERT_EQUAL(0, fixture.client.resolve_calls);
            fixture.attempt(1).send_complete_answer("[1]");
            CPPUNIT_ASSERT_EQUAL(std::string{"[1]"}, exchange->sent_response.body);
        });
    }

    void drops_frames_of_other_attempts()
    {
        dispatcher_fixture fixture;
        const auto exchange = fixture.start(true);
        const auto other = fixture.start(true);
        auto& own = fixture.attempt(0);
        auto& foreign = fixture.attempt(1);
        own.deliver(foreign.framer.make_head(200));
        own.deliver(foreign.framer.make_data("not yours"));
        own.send_complete_answer("yours");
        CPPUNIT_ASSERT_EQUAL(std::string{"yours"}, exchange->sent_response.body);
        CPPUNIT_ASSERT_EQUAL(
            std::uint64_t{2},
            fixture.metrics.counter_value("tanager_frames_dropped_total", "reason=\"foreign\""));
        CPPUNIT_ASSERT(fixture.invariants.violations.empty());
        section("late frames of a retried attempt do not reach the caller", [&] {
            fixture.attempt(1).send_failure(result_code::backend_failed, false);
            auto& second = fixture.attempt(2);
            second.deliver(fixture.attempt(1).framer.make_data("late"));
            second.send_complete_answer("second");
            CPPUNIT_ASSERT_EQUAL(std::string{"second"}, other->sent_response.body);
        });
    }

    void aborts_started_stream_on_failure()
    {
        dispatcher_fixture fixture;
        const auto exchange = fixture.start(true, true);
        auto& attempt = fixture.attempt(0);
        auto head = attempt.framer.make_head(200);
        auto* const header = head.mutable_head()->add_headers();
        header->set_name("Content-Type");
        header->set_value("text/event-stream");
        attempt.deliver(head);
        attempt.deliver(attempt.framer.make_data("data: {}\n\n"));
        attempt.send_failure(result_code::backend_failed, false);
        CPPUNIT_ASSERT(exchange->is_aborted);
        CPPUNIT_ASSERT(!exchange->is_finished);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.client.attempts.size());
    }

    void retry_budget_bounds_retries()
    {
        dispatcher_fixture fixture;
        constexpr int requests = 300;
        for (int i = 0; i < requests; ++i) {
            fixture.start(true);
            const std::size_t first = fixture.client.attempts.size() - 1;
            fixture.attempt(first).send_failure(result_code::agent_queue_full, true);
            for (std::size_t next = first + 1; next < fixture.client.attempts.size(); ++next) {
                fixture.attempt(next).send_failure(result_code::agent_queue_full, true);
            }
        }
        const std::size_t retries = fixture.client.attempts.size() - requests;
        CPPUNIT_ASSERT(retries <= requests / 10 + 20);
        CPPUNIT_ASSERT(retries >= requests / 10);
        CPPUNIT_ASSERT_EQUAL(requests, fixture.ended_requests);
    }

    void own_dispatches_correct_load_reports()
    {
        pool_entry pool;
        pool.name = "p";
        pool.share_slot_count = 2;
        const pool_agent agent{"h1", "d", "a", 0, false};
        member_entry member;
        member.name = "midlands";
        member.caps = {{"p", 8}};
        agent_loads loads;
        CPPUNIT_ASSERT(!loads.make_candidate(pool, agent, member).takes_work);
        protocol::agent_message report;
        report.set_agent_host("h1");
        report.set_ready(true);
        report.set_capacity_pieces(6);
        report.set_used_pieces(3);
        auto* const use = report.add_members();
        use->set_member("midlands");
        use->set_used_pieces(1);
        loads.apply_report(report);
        CPPUNIT_ASSERT(loads.make_candidate(pool, agent, member) ==
                       (agent_candidate{"h1", true, false, 3, 3, 4, 0}));
        section("load dispatched since the report counts as used", [&] {
            loads.add_load("h1", "midlands", 3);
            CPPUNIT_ASSERT(loads.make_candidate(pool, agent, member) ==
                           (agent_candidate{"h1", true, false, 0, 0, 4, 1}));
            loads.remove_load("h1", "midlands", 3);
            CPPUNIT_ASSERT_EQUAL(3U, loads.make_candidate(pool, agent, member).free_pieces);
        });
        section("reported load becomes free once its attempt has ended", [&] {
            loads.remove_load("h1", "midlands", 1);
            CPPUNIT_ASSERT_EQUAL(4U, loads.make_candidate(pool, agent, member).free_member_pieces);
        });
        section("the next report replaces earlier corrections", [&] {
            loads.add_load("h1", "midlands", 2);
            loads.apply_report(report);
            CPPUNIT_ASSERT_EQUAL(3U, loads.make_candidate(pool, agent, member).free_pieces);
        });
    }

    void validates_completion_bodies()
    {
        const auto code = [](const std::string& text, completion_kind kind) {
            const auto parsed = completion_request::parse(text, kind);
            return parsed ? result_code::ok : parsed.error().code;
        };
        CPPUNIT_ASSERT(code("", completion_kind::text) == result_code::request_malformed);
        CPPUNIT_ASSERT(code(R"({"model":"a"})", completion_kind::chat) == result_code::field_missing);
        CPPUNIT_ASSERT(code(R"({"model":"a","messages":[]})", completion_kind::chat) ==
                       result_code::field_invalid);
        CPPUNIT_ASSERT(code(R"({"model":"","prompt":"x"})", completion_kind::text) ==
                       result_code::field_invalid);
        const auto body = completion_request::parse(
            R"({"model":"a","prompt":"x","max_tokens":3,"extra":[1]})", completion_kind::text);
        CPPUNIT_ASSERT_EQUAL(3U, body->parameters().max_tokens);
        section("unknown fields are forwarded unchanged", [&] {
            CPPUNIT_ASSERT_EQUAL(std::string{R"({"extra":[1],"max_tokens":9,"model":"m","prompt":"x"})"},
                                 body->render_backend_body("m", 9));
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(entry_tests);

} // namespace tanager
