#include "soak/guarantee_check.h"
#include "testing/section.h"

#include <cppunit/extensions/HelperMacros.h>

namespace tanager::soak {

namespace {

using namespace std::chrono_literals;
using testing::section;

const time_point start = time_point{} + 1h;

// A run in which every request gets the right response; each test then changes one thing.
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
        request->finished_at = request->sent_at + 100ms;
        const auto body =
            kind == request_kind::stream ? "id: 1\ndata: body\n\nid: 2\ndata: body\n\n" : "answer to body";
        request->response = http_response{
            200, {{"Attempt-Id", request->id}, {"Response-Seal", "seal-of-" + request->id}}, body};
        this->record.requests.push_back(request);
        this->record.execution_counts["s1-0"][request->id] = 1;
        return request;
    }

    // Returns the number of violations, and checks that each is of the given guarantee.
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
        this->record.fault_intervals.push_back({start + started, start + ended, {}});
    }

    soak_record record;
};

void fail(sent_request& request, call_progress progress, result_code code = result_code::connection_lost)
{
    request.response.reset();
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
    CPPUNIT_TEST(reports_work_on_servers_that_stated_that_they_leave);
    CPPUNIT_TEST(reports_a_configuration_that_reverts);
    CPPUNIT_TEST(reports_a_configuration_that_comes_late);
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
        section("a non-idempotent request that ran on two servers is a violation", [] {
            run_without_violations run;
            const auto order = run.add(request_kind::non_idempotent);
            run.record.execution_counts["s2-0"][order->id] = 1;
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, run.count_violations("at most once"));
            section("an idempotent request may run on two servers", [&] {
                order->kind = request_kind::idempotent;
                CPPUNIT_ASSERT_EQUAL(std::size_t{0}, run.count_violations("nothing"));
            });
        });
        section("a non-idempotent request that ran but got a 503 is a violation", [] {
            run_without_violations run;
            const auto order = run.add(request_kind::non_idempotent);
            order->response = http_response{503, {}, {}};
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, run.count_violations("not run never ran"));
            section("a 502 does not say whether the request ran", [&] {
                order->response->status = 502;
                CPPUNIT_ASSERT_EQUAL(std::size_t{0}, run.count_violations("nothing"));
            });
        });
    }

    void reports_wrong_responses()
    {
        run_without_violations run;
        section("the body of another request is a violation", [&] {
            run.add(request_kind::idempotent)->response->body = "answer to another";
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, run.count_violations("own complete response"));
        });
        section("a stream without its last event is a violation", [&] {
            run.add(request_kind::stream)->response->body = "id: 1\ndata: body\n\n";
            CPPUNIT_ASSERT_EQUAL(std::size_t{2}, run.count_violations("own complete response"));
        });
        section("the id or the signature of another request is a violation", [&] {
            run.add(request_kind::idempotent)->response->headers[0].value = "another";
            run.add(request_kind::idempotent)->response->headers[1].value = "seal-of-another";
            CPPUNIT_ASSERT_EQUAL(std::size_t{4}, run.count_violations("own complete response"));
        });
    }

    void reports_requests_without_a_response()
    {
        run_without_violations run;
        section("a request without an outcome and one whose call timed out are violations", [&] {
            run.add(request_kind::idempotent)->response.reset();
            fail(*run.add(request_kind::idempotent), call_progress::maybe_sent, result_code::timed_out);
            CPPUNIT_ASSERT_EQUAL(std::size_t{2}, run.count_violations("answered"));
        });
    }

    void reports_requests_interrupted_by_a_stop()
    {
        section("a request sent before the stop and interrupted by it is a violation", [] {
            run_without_violations run;
            const auto interrupted = run.add(request_kind::idempotent);
            run.record.planned_stops.push_back({"g0#1", interrupted->sent_at + 50ms});
            fail(*interrupted, call_progress::maybe_sent);
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, run.count_violations("graceful stop"));
            section("so is a request that was sent after the stop and ran on a backend server", [&] {
                interrupted->sent_at = run.record.planned_stops.front().requested_at + 1ms;
                CPPUNIT_ASSERT_EQUAL(std::size_t{1}, run.count_violations("graceful stop"));
                section("a request sent after the stop that never ran may be interrupted", [&] {
                    run.record.execution_counts.clear();
                    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, run.count_violations("nothing"));
                });
            });
        });
        section("an interruption shortly after a fault interval is no violation", [] {
            run_without_violations run;
            const auto interrupted = run.add(request_kind::idempotent);
            run.record.planned_stops.push_back({"g0#1", interrupted->sent_at + 50ms});
            fail(*interrupted, call_progress::maybe_sent);
            run.add_fault_interval(5s, 8s);
            CPPUNIT_ASSERT_EQUAL(std::size_t{0}, run.count_violations("nothing"));
            section("an interruption long after the fault interval is a violation", [&] {
                run.record.fault_intervals.front().ended_at = start + 6s;
                CPPUNIT_ASSERT_EQUAL(std::size_t{1}, run.count_violations("graceful stop"));
            });
        });
        section("a gateway that exited on its own is a violation", [] {
            run_without_violations run;
            run.record.unexpected_exits.emplace_back("g0#1 ended by itself with -11");
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, run.count_violations("keeps running"));
        });
    }

    void reports_work_on_draining_servers()
    {
        run_without_violations run;
        const auto late = run.add(request_kind::idempotent);
        run.record.draining_servers.push_back({"s1-0", late->sent_at - 3s});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, run.count_violations("draining servers get no work"));
        section("a request within the drain delay is no violation", [&] {
            run.record.draining_servers.front().announced_at = late->sent_at - 2s;
            CPPUNIT_ASSERT_EQUAL(std::size_t{0}, run.count_violations("nothing"));
        });
    }

    void reports_work_on_servers_that_stated_that_they_leave()
    {
        run_without_violations run;
        const auto first = run.add(request_kind::idempotent);
        const auto late = run.add(request_kind::idempotent, 13s);
        first->response->headers.push_back({"Server-Leaving", "1"});
        first->response->headers.push_back({"Server-Id", "s1-0"});
        run.add_fault_interval(0s, 20s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, run.count_violations("leaving servers get no work"));
        section("a pause of the gateway since then excuses it, one before does not", [&] {
            run.record.pauses.push_back({"g0#1", start + 9s});
            run.record.pauses.push_back({"g1#1", start + 12s});
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, run.count_violations("leaving servers get no work"));
            run.record.pauses.push_back({"g0#1", start + 12s});
            CPPUNIT_ASSERT_EQUAL(std::size_t{0}, run.count_violations("nothing"));
            run.record.pauses.clear();
        });
        section("another process of the gateway, another server and the drain delay are no violation", [&] {
            late->gateway_instance = "g0#2";
            CPPUNIT_ASSERT_EQUAL(std::size_t{0}, run.count_violations("nothing"));
            late->gateway_instance = "g0#1";
            late->sent_at = first->finished_at + 2s;
            CPPUNIT_ASSERT_EQUAL(std::size_t{0}, run.count_violations("nothing"));
            late->sent_at = start + 13s;
            run.record.execution_counts["s1-0"].erase(late->id);
            run.record.execution_counts["s2-0"][late->id] = 1;
            CPPUNIT_ASSERT_EQUAL(std::size_t{0}, run.count_violations("nothing"));
        });
    }

    void reports_a_configuration_that_reverts()
    {
        section("a route that a gateway served and later does not know is a violation", [] {
            run_without_violations run;
            const auto before = run.add(request_kind::added_route);
            const auto after = run.add(request_kind::added_route, 12s);
            before->added_route_number = after->added_route_number = 3;
            after->response = http_response{404, {}, {}};
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, run.count_violations("configuration never reverts"));
            section("so is an unknown route that is older than the served one", [&] {
                after->added_route_number = 2;
                CPPUNIT_ASSERT_EQUAL(std::size_t{1}, run.count_violations("configuration never reverts"));
            });
            section("a newer route, another process or a response that came later is no violation", [&] {
                after->added_route_number = 4;
                CPPUNIT_ASSERT_EQUAL(std::size_t{0}, run.count_violations("nothing"));
                after->added_route_number = 3;
                after->gateway_instance = "g0#2";
                CPPUNIT_ASSERT_EQUAL(std::size_t{0}, run.count_violations("nothing"));
                after->gateway_instance = "g0#1";
                after->sent_at = before->sent_at;
                CPPUNIT_ASSERT_EQUAL(std::size_t{0}, run.count_violations("nothing"));
            });
            section("a 503 does not prove that the gateway knew the route (seeds 203 and 213)", [&] {
                after->sent_at = start + 12s;
                before->response = http_response{503, {}, {}};
                CPPUNIT_ASSERT_EQUAL(std::size_t{0}, run.count_violations("nothing"));
            });
        });
        section("an unknown route of the initial configuration is a violation", [] {
            run_without_violations run;
            run.add(request_kind::non_idempotent)->response = http_response{404, {}, {}};
            run.record.execution_counts.clear();
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, run.count_violations("configuration"));
        });
    }

    void reports_a_configuration_that_comes_late()
    {
        run_without_violations run;
        const auto request = run.add(request_kind::added_route);
        request->added_route_number = 3;
        request->response = http_response{404, {}, {}};
        section("a route is unknown four seconds after it was added", [&] {
            run.record.added_routes = {{3, start + 6s}};
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, run.count_violations("configuration in time"));
        });
        section("a gateway that was disturbed within four seconds may still be behind", [&] {
            run.add_fault_interval(6s, 6'500ms);
            CPPUNIT_ASSERT_EQUAL(std::size_t{0}, run.count_violations("nothing"));
            run.record.fault_intervals.clear();
        });
        section("so may one that a fault of its own has struck, but not of another", [&] {
            run.add_fault_interval(6s, 6'500ms);
            run.record.fault_intervals.back().target = "g0";
            CPPUNIT_ASSERT_EQUAL(std::size_t{0}, run.count_violations("nothing"));
            run.record.fault_intervals.back().target = "g1";
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, run.count_violations("configuration in time"));
            run.record.fault_intervals.clear();
        });
        section("within three seconds any gateway may", [&] {
            run.record.added_routes = {{3, start + 7s}};
            CPPUNIT_ASSERT_EQUAL(std::size_t{0}, run.count_violations("nothing"));
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(guarantee_check_tests);

} // namespace

} // namespace tanager::soak
