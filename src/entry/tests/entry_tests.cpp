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

// Everything one run needs, on fakes.
struct run_bench {
    run_bench() : loop(std::move(*event_loop::create()))
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
                                       this->selector,
                                       this->gateway,
                                       this->budget,
                                       this->crashes,
                                       this->settings,
                                       7,
                                       this->last_sequence};
        std::make_shared<request_dispatcher>(context, request, [this] { ++this->ended; })->start();
        return exchange;
    }

    fake_attempt& attempt(std::size_t index)
    {
        return *this->gateway.attempts.at(index);
    }

    std::unique_ptr<event_loop> loop;
    manual_clock time;
    system_random random{1};
    metrics_registry metrics;
    recording_invariant_monitor invariants;
    fake_agent_candidate_source selector;
    fake_agent_client gateway;
    retry_budget budget{0.1, 20};
    crash_history crashes{this->time, std::chrono::minutes{10}};
    entry_settings settings;
    std::uint64_t last_sequence = 0;
    int ended = 0;
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
    CPPUNIT_TEST(a_whole_answer_is_passed_on);
    CPPUNIT_TEST(refusals_are_retried_elsewhere);
    CPPUNIT_TEST(what_may_have_run_is_not_repeated);
    CPPUNIT_TEST(a_broken_connection_is_settled);
    CPPUNIT_TEST(foreign_frames_never_reach_the_caller);
    CPPUNIT_TEST(a_delivered_stream_is_broken_off);
    CPPUNIT_TEST(retries_stop_with_the_budget);
    CPPUNIT_TEST(reports_are_corrected_by_own_dispatches);
    CPPUNIT_TEST(completion_bodies_are_checked);
    CPPUNIT_TEST_SUITE_END();

public:
    void a_whole_answer_is_passed_on()
    {
        run_bench bench;
        const auto exchange = bench.start(true);
        bench.attempt(0).send_complete_answer("{}");
        CPPUNIT_ASSERT_EQUAL(std::string{"{}"}, exchange->sent_response.body);
        CPPUNIT_ASSERT_EQUAL(std::string{"complete"}, outcome_of(*exchange));
        CPPUNIT_ASSERT_EQUAL(1, bench.ended);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, bench.selector.open_pieces);
    }

    void refusals_are_retried_elsewhere()
    {
        for (const bool idempotent : {true, false}) {
            run_bench bench;
            const auto exchange = bench.start(idempotent);
            bench.attempt(0).send_failure(result_code::agent_leaving, true);
            bench.attempt(1).send_failure(result_code::agent_queue_full, true);
            section("each time on another host", [&] {
                const std::set<std::string> hosts(bench.gateway.dispatched_hosts.begin(),
                                                  bench.gateway.dispatched_hosts.end());
                CPPUNIT_ASSERT_EQUAL(std::size_t{3}, hosts.size());
            });
            bench.attempt(2).send_failure(result_code::agent_queue_full, true);
            CPPUNIT_ASSERT_EQUAL(std::string{"not-run"}, outcome_of(*exchange));
            CPPUNIT_ASSERT_EQUAL(std::string{"403"}, code_of(*exchange));
            CPPUNIT_ASSERT_EQUAL(std::size_t{3}, bench.gateway.attempts.size());
            CPPUNIT_ASSERT(bench.invariants.violations.empty());
        }
    }

    void what_may_have_run_is_not_repeated()
    {
        section("an order", [] {
            run_bench bench;
            const auto exchange = bench.start(false);
            bench.attempt(0).send_failure(result_code::backend_failed, false);
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench.gateway.attempts.size());
            CPPUNIT_ASSERT_EQUAL(std::string{"unknown"}, outcome_of(*exchange));
        });
        section("while a lookup is", [] {
            run_bench bench;
            const auto exchange = bench.start(true);
            bench.attempt(0).send_failure(result_code::backend_failed, false);
            bench.attempt(1).send_complete_answer("[1]");
            CPPUNIT_ASSERT_EQUAL(std::string{"[1]"}, exchange->sent_response.body);
        });
        section("nor is not-run said when a later attempt was refused", [] {
            run_bench bench;
            const auto exchange = bench.start(true);
            bench.attempt(0).send_failure(result_code::backend_failed, false);
            bench.attempt(1).send_failure(result_code::agent_leaving, true);
            bench.attempt(2).send_failure(result_code::agent_leaving, true);
            CPPUNIT_ASSERT_EQUAL(std::string{"unknown"}, outcome_of(*exchange));
        });
        section("and not-run is never said after an attempt that may have run", [] {
            run_bench bench;
            bench.settings.max_attempts = 1;
            const auto exchange = bench.start(true);
            bench.attempt(0).send_failure(result_code::backend_failed, false);
            CPPUNIT_ASSERT_EQUAL(std::string{"unknown"}, outcome_of(*exchange));
        });
    }

    void a_broken_connection_is_settled()
    {
        section("not run: a new attempt", [] {
            run_bench bench;
            bench.gateway.scripted_resolutions = {attempt_resolution::not_run};
            const auto exchange = bench.start(false);
            bench.attempt(0).disconnect();
            bench.attempt(1).send_complete_answer("receipt");
            CPPUNIT_ASSERT_EQUAL(std::string{"receipt"}, exchange->sent_response.body);
        });
        section("may have run: unknown", [] {
            run_bench bench;
            bench.gateway.scripted_resolutions = {attempt_resolution::may_have_run};
            const auto exchange = bench.start(false);
            bench.attempt(0).disconnect();
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench.gateway.attempts.size());
            CPPUNIT_ASSERT_EQUAL(std::string{"unknown"}, outcome_of(*exchange));
            CPPUNIT_ASSERT_EQUAL(std::string{"506"}, code_of(*exchange));
        });
        section("the agent was replaced: unknown, without asking its successor", [] {
            run_bench bench;
            const auto exchange = bench.start(false);
            bench.selector.incarnations[bench.gateway.dispatched_hosts.at(0)] = 2;
            bench.attempt(0).disconnect();
            CPPUNIT_ASSERT_EQUAL(0, bench.gateway.resolve_calls);
            CPPUNIT_ASSERT_EQUAL(std::string{"unknown"}, outcome_of(*exchange));
        });
        section("a lookup is simply sent again", [] {
            run_bench bench;
            const auto exchange = bench.start(true);
            bench.attempt(0).disconnect();
            CPPUNIT_ASSERT_EQUAL(0, bench.gateway.resolve_calls);
            bench.attempt(1).send_complete_answer("[1]");
            CPPUNIT_ASSERT_EQUAL(std::string{"[1]"}, exchange->sent_response.body);
        });
    }

    void foreign_frames_never_reach_the_caller()
    {
        run_bench bench;
        const auto exchange = bench.start(true);
        const auto other = bench.start(true);
        auto& own = bench.attempt(0);
        auto& foreign = bench.attempt(1);
        own.deliver(foreign.framer.make_head(200));
        own.deliver(foreign.framer.make_data("not yours"));
        own.send_complete_answer("yours");
        CPPUNIT_ASSERT_EQUAL(std::string{"yours"}, exchange->sent_response.body);
        CPPUNIT_ASSERT_EQUAL(
            std::uint64_t{2},
            bench.metrics.counter_value("tanager_frames_dropped_total", "reason=\"foreign\""));
        CPPUNIT_ASSERT(bench.invariants.violations.empty());
        section("late frames of a retried attempt neither", [&] {
            bench.attempt(1).send_failure(result_code::backend_failed, false);
            auto& second = bench.attempt(2);
            second.deliver(bench.attempt(1).framer.make_data("late"));
            second.send_complete_answer("second");
            CPPUNIT_ASSERT_EQUAL(std::string{"second"}, other->sent_response.body);
        });
    }

    void a_delivered_stream_is_broken_off()
    {
        run_bench bench;
        const auto exchange = bench.start(true, true);
        auto& attempt = bench.attempt(0);
        auto head = attempt.framer.make_head(200);
        auto* const header = head.mutable_head()->add_headers();
        header->set_name("Content-Type");
        header->set_value("text/event-stream");
        attempt.deliver(head);
        attempt.deliver(attempt.framer.make_data("data: {}\n\n"));
        attempt.send_failure(result_code::backend_failed, false);
        CPPUNIT_ASSERT(exchange->is_aborted);
        CPPUNIT_ASSERT(!exchange->is_finished);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench.gateway.attempts.size());
    }

    void retries_stop_with_the_budget()
    {
        run_bench bench;
        constexpr int requests = 300;
        for (int i = 0; i < requests; ++i) {
            bench.start(true);
            const std::size_t first = bench.gateway.attempts.size() - 1;
            bench.attempt(first).send_failure(result_code::agent_queue_full, true);
            for (std::size_t next = first + 1; next < bench.gateway.attempts.size(); ++next) {
                bench.attempt(next).send_failure(result_code::agent_queue_full, true);
            }
        }
        const std::size_t retries = bench.gateway.attempts.size() - requests;
        CPPUNIT_ASSERT(retries <= requests / 10 + 20);
        CPPUNIT_ASSERT(retries >= requests / 10);
        CPPUNIT_ASSERT_EQUAL(requests, bench.ended);
    }

    void reports_are_corrected_by_own_dispatches()
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
        section("what was sent since counts as used", [&] {
            loads.add_load("h1", "midlands", 3);
            CPPUNIT_ASSERT(loads.make_candidate(pool, agent, member) ==
                           (agent_candidate{"h1", true, false, 0, 0, 4, 1}));
            loads.remove_load("h1", "midlands", 3);
            CPPUNIT_ASSERT_EQUAL(3U, loads.make_candidate(pool, agent, member).free_pieces);
        });
        section("what the report counted is free once it has ended", [&] {
            loads.remove_load("h1", "midlands", 1);
            CPPUNIT_ASSERT_EQUAL(4U, loads.make_candidate(pool, agent, member).free_member_pieces);
        });
        section("the next report starts afresh", [&] {
            loads.add_load("h1", "midlands", 2);
            loads.apply_report(report);
            CPPUNIT_ASSERT_EQUAL(3U, loads.make_candidate(pool, agent, member).free_pieces);
        });
    }

    void completion_bodies_are_checked()
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
        section("what the entry does not know is passed on as it is", [&] {
            CPPUNIT_ASSERT_EQUAL(std::string{R"({"extra":[1],"max_tokens":9,"model":"m","prompt":"x"})"},
                                 body->render_backend_body("m", 9));
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(entry_tests);

} // namespace tanager
