#include "soak/guarantee_check.h"
#include "testing/section.h"

#include <cppunit/extensions/HelperMacros.h>

namespace tanager::soak {

namespace {

using namespace std::chrono_literals;
using testing::section;

const time_point start = time_point{} + 1h;

// A run in which each request is answered as it should be, to be spoilt by one thing at a time.
class run_without_violations {
public:
    std::shared_ptr<sent_request> add(request_kind kind, duration sent = 10s)
    {
        auto request = std::make_shared<sent_request>();
        request->id = "r" + std::to_string(this->record.requests.size() + 1);
        request->body = "body";
        request->kind = kind;
        request->event_count = 2;
        request->gateway_instance = "g0#1";
        request->sent_at = start + sent;
        request->settled_at = request->sent_at + 100ms;
        const auto body =
            kind == request_kind::stream ? "id: 1\ndata: body\n\nid: 2\ndata: body\n\n" : "answer to body";
        request->reply = http_response{
            200, {{"Attempt-Id", request->id}, {"Response-Seal", "seal-of-" + request->id}}, body};
        this->record.requests.push_back(request);
        this->record.execution_counts["s1-0"][request->id] = 1;
        return request;
    }

    // Returns how many promises are broken, and checks that each is the one named.
    std::size_t count_violations(const std::string& guarantee) const
    {
        const auto lines = find_guarantee_violations(this->record);
        for (const auto& line : lines) {
            CPPUNIT_ASSERT_MESSAGE(line, line.starts_with(guarantee + ":"));
        }
        return lines.size();
    }

    void add_fault_interval(duration started, duration ended)
    {
        this->record.fault_intervals.push_back({start + started, start + ended});
    }

    soak_record record;
};

void fail(sent_request& request, call_progress progress, result_code code = result_code::connection_lost)
{
    request.reply.reset();
    request.failure = http_failure{{code, "broken"}, progress};
}

class guarantee_check_tests : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(guarantee_check_tests);
    CPPUNIT_TEST(reports_nothing_for_a_run_without_violations);
    CPPUNIT_TEST(reports_forbidden_executions);
    CPPUNIT_TEST(reports_wrong_responses);
    CPPUNIT_TEST(reports_requests_without_a_response);
    CPPUNIT_TEST(reports_requests_interrupted_by_a_stop);
    CPPUNIT_TEST(reports_work_on_draining_servers);
    CPPUNIT_TEST(reports_a_configuration_that_reverts);
    CPPUNIT_TEST_SUITE_END();

public:
    void reports_nothing_for_a_run_without_violations()
    {
        run_without_violations run;
        for (const auto kind : {request_kind::non_idempotent,
                                request_kind::idempotent,
                                request_kind::stream,
                                request_kind::added_route}) {
            run.add(kind);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, run.count_violations("nothing"));
    }

    void reports_forbidden_executions()
    {
        section("an order that ran twice, on two servers", [] {
            run_without_violations run;
            const auto order = run.add(request_kind::non_idempotent);
            run.record.execution_counts["s2-0"][order->id] = 1;
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, run.count_violations("at most once"));
            section("a read may", [&] {
                order->kind = request_kind::idempotent;
                CPPUNIT_ASSERT_EQUAL(std::size_t{0}, run.count_violations("nothing"));
            });
        });
        section("an order that was answered as not run", [] {
            run_without_violations run;
            const auto order = run.add(request_kind::non_idempotent);
            order->reply = http_response{503, {}, {}};
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, run.count_violations("not run is true"));
            section("a 502 promises nothing", [&] {
                order->reply->status = 502;
                CPPUNIT_ASSERT_EQUAL(std::size_t{0}, run.count_violations("nothing"));
            });
        });
    }

    void reports_wrong_responses()
    {
        run_without_violations run;
        section("the body of another request", [&] {
            run.add(request_kind::idempotent)->reply->body = "answer to another";
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, run.count_violations("own whole answer"));
        });
        section("a stream that lacks its last event", [&] {
            run.add(request_kind::stream)->reply->body = "id: 1\ndata: body\n\n";
            CPPUNIT_ASSERT_EQUAL(std::size_t{2}, run.count_violations("own whole answer"));
        });
        section("the id, or the signature, of another request", [&] {
            run.add(request_kind::idempotent)->reply->headers[0].value = "another";
            run.add(request_kind::idempotent)->reply->headers[1].value = "seal-of-another";
            CPPUNIT_ASSERT_EQUAL(std::size_t{4}, run.count_violations("own whole answer"));
        });
    }

    void reports_requests_without_a_response()
    {
        run_without_violations run;
        section("one that was never settled, and one that its caller gave up", [&] {
            run.add(request_kind::idempotent)->reply.reset();
            fail(*run.add(request_kind::idempotent), call_progress::maybe_sent, result_code::timed_out);
            CPPUNIT_ASSERT_EQUAL(std::size_t{2}, run.count_violations("answered"));
        });
    }

    void reports_requests_interrupted_by_a_stop()
    {
        section("a gateway is asked to stop while a request is under way", [] {
            run_without_violations run;
            const auto interrupted = run.add(request_kind::idempotent);
            run.record.planned_stops.push_back({"g0#1", interrupted->sent_at + 50ms});
            fail(*interrupted, call_progress::maybe_sent);
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, run.count_violations("graceful stop"));
            section("one that came later and was passed on counts, too", [&] {
                interrupted->sent_at = run.record.planned_stops.front().requested_at + 1ms;
                CPPUNIT_ASSERT_EQUAL(std::size_t{1}, run.count_violations("graceful stop"));
                section("but not one that crossed the close", [&] {
                    run.record.execution_counts.clear();
                    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, run.count_violations("nothing"));
                });
            });
        });
        section("a disturbance shortly before the stop excuses it", [] {
            run_without_violations run;
            const auto interrupted = run.add(request_kind::idempotent);
            run.record.planned_stops.push_back({"g0#1", interrupted->sent_at + 50ms});
            fail(*interrupted, call_progress::maybe_sent);
            run.add_fault_interval(5s, 8s);
            CPPUNIT_ASSERT_EQUAL(std::size_t{0}, run.count_violations("nothing"));
            section("one that ended long before does not", [&] {
                run.record.fault_intervals.front().ended_at = start + 6s;
                CPPUNIT_ASSERT_EQUAL(std::size_t{1}, run.count_violations("graceful stop"));
            });
        });
        section("a gateway that ended by itself", [] {
            run_without_violations run;
            run.record.unexpected_exits.emplace_back("g0#1 ended by itself with -11");
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, run.count_violations("runs on"));
        });
    }

    void reports_work_on_draining_servers()
    {
        run_without_violations run;
        const auto late = run.add(request_kind::idempotent);
        run.record.draining_servers.push_back({"s1-0", late->sent_at - 3s});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, run.count_violations("leaving servers get no work"));
        section("within the bound it may", [&] {
            run.record.draining_servers.front().announced_at = late->sent_at - 2s;
            CPPUNIT_ASSERT_EQUAL(std::size_t{0}, run.count_violations("nothing"));
        });
    }

    void reports_a_configuration_that_reverts()
    {
        section("a route is served by a gateway and unknown to it later", [] {
            run_without_violations run;
            const auto before = run.add(request_kind::added_route);
            const auto after = run.add(request_kind::added_route, 12s);
            before->added_route_number = after->added_route_number = 3;
            after->reply = http_response{404, {}, {}};
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, run.count_violations("configuration never reverts"));
            section("so is an older route than the one that was served", [&] {
                after->added_route_number = 2;
                CPPUNIT_ASSERT_EQUAL(std::size_t{1}, run.count_violations("configuration never reverts"));
            });
            section("a newer one, another process, or an answer that came later shows nothing", [&] {
                after->added_route_number = 4;
                CPPUNIT_ASSERT_EQUAL(std::size_t{0}, run.count_violations("nothing"));
                after->added_route_number = 3;
                after->gateway_instance = "g0#2";
                CPPUNIT_ASSERT_EQUAL(std::size_t{0}, run.count_violations("nothing"));
                after->gateway_instance = "g0#1";
                after->sent_at = before->sent_at;
                CPPUNIT_ASSERT_EQUAL(std::size_t{0}, run.count_violations("nothing"));
            });
            section("nor does a gateway that knew no configuration yet (seeds 203 and 213)", [&] {
                after->sent_at = start + 12s;
                before->reply = http_response{503, {}, {}};
                CPPUNIT_ASSERT_EQUAL(std::size_t{0}, run.count_violations("nothing"));
            });
        });
        section("a standing route is unknown", [] {
            run_without_violations run;
            run.add(request_kind::non_idempotent)->reply = http_response{404, {}, {}};
            run.record.execution_counts.clear();
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, run.count_violations("configuration"));
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(guarantee_check_tests);

} // namespace

} // namespace tanager::soak
