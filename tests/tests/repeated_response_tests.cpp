// Backend servers send responses twice, and the copy arrives where the response to the next request of its
// connection is due. Guards against copies of refusals that are taken for the refusal of another request,
// which then runs at two servers or is reported as not run, and against responses lost behind a copy.
#include "tests/support/repeating_fleet.h"

namespace tanager::testing {

namespace {

// Of the requests that no copy concerns, servers refuse many for a third and last time.
constexpr std::size_t min_served_divisor = 2;

void check_no_wrong_outcome(const repeat_result& result)
{
    section("copies meet other requests",
            [&] { CPPUNIT_ASSERT_MESSAGE(result.to_text(), result.met_copies > 0 || result.repeats > 0); });
    section("no request runs on more servers than its route allows", [&] {
        CPPUNIT_ASSERT_EQUAL_MESSAGE(result.to_text(), std::size_t{0}, result.more_servers_than_allowed);
    });
    section("no request that has run is reported as not run", [&] {
        CPPUNIT_ASSERT_EQUAL_MESSAGE(result.to_text(), std::size_t{0}, result.rejected_although_run);
    });
    section("no caller gets another request's response",
            [&] { CPPUNIT_ASSERT_EQUAL_MESSAGE(result.to_text(), std::size_t{0}, result.mixed); });
}

void check_orders(const repeat_result& result)
{
    check_no_wrong_outcome(result);
    section("no order runs twice",
            [&] { CPPUNIT_ASSERT_EQUAL_MESSAGE(result.to_text(), std::size_t{0}, result.ran_twice); });
}

void check_served(const repeat_result& result)
{
    section("a request that has run gets its response behind the copy",
            [&] { CPPUNIT_ASSERT_EQUAL_MESSAGE(result.to_text(), std::size_t{0}, result.failed_at_copies); });
    section("most requests are served", [&] {
        CPPUNIT_ASSERT_MESSAGE(result.to_text(), result.served > result.requests / min_served_divisor);
    });
}

repeat_result
run_scenario(const std::string& route, std::vector<std::string> server_arguments, int server_count = 3)
{
    return repeat_scenario_runner(repeat_scenario{.route = route,
                                                  .server_count = server_count,
                                                  .server_arguments = std::move(server_arguments)})
        .run();
}

class repeated_response_tests : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(repeated_response_tests);
    CPPUNIT_TEST(an_order_does_not_run_twice_after_the_copy_of_a_refusal_without_id);
    CPPUNIT_TEST(an_order_does_not_run_twice_after_a_copy_that_comes_a_little_later);
    CPPUNIT_TEST(a_read_stays_within_its_servers_after_the_copy_of_a_refusal_without_id);
    CPPUNIT_TEST(an_order_gets_its_response_behind_the_copy_of_a_refusal);
    CPPUNIT_TEST(a_read_gets_its_response_behind_the_copy_of_a_refusal);
    CPPUNIT_TEST(a_read_gets_its_response_behind_the_copy_of_a_failure);
    CPPUNIT_TEST(a_stream_gets_its_response_behind_the_copy_of_a_refusal);
    CPPUNIT_TEST(half_a_copy_does_not_make_a_refusal_of_the_response_behind_it);
    CPPUNIT_TEST(a_cut_copy_does_not_change_the_status_of_the_response_behind_it);
    CPPUNIT_TEST(a_server_stays_in_use_after_it_has_answered_misdirected);
    CPPUNIT_TEST_SUITE_END();

public:
    void an_order_does_not_run_twice_after_the_copy_of_a_refusal_without_id()
    {
        check_orders(run_scenario(
            "order", {"--refuse-without-id", "--refused-percent", "40", "--repeated-percent", "50"}));
    }

    void an_order_does_not_run_twice_after_a_copy_that_comes_a_little_later()
    {
        for (const auto* const delay : {"0", "1", "10"}) {
            check_orders(run_scenario("order",
                                      {"--refuse-without-id",
                                       "--refused-percent",
                                       "40",
                                       "--repeated-percent",
                                       "50",
                                       "--repeat-delay-ms",
                                       delay}));
        }
    }

    void a_read_stays_within_its_servers_after_the_copy_of_a_refusal_without_id()
    {
        check_no_wrong_outcome(run_scenario(
            "read", {"--refuse-without-id", "--refused-percent", "40", "--repeated-percent", "50"}, 5));
    }

    void an_order_gets_its_response_behind_the_copy_of_a_refusal()
    {
        const auto result = run_scenario("order", {"--refused-percent", "5", "--repeated-percent", "100"});
        check_orders(result);
        check_served(result);
    }

    void a_read_gets_its_response_behind_the_copy_of_a_refusal()
    {
        const auto result = run_scenario("read", {"--refused-percent", "5", "--repeated-percent", "100"});
        check_no_wrong_outcome(result);
        check_served(result);
        section("no read runs again for it",
                [&] { CPPUNIT_ASSERT_EQUAL_MESSAGE(result.to_text(), std::size_t{0}, result.ran_twice); });
    }

    void a_read_gets_its_response_behind_the_copy_of_a_failure()
    {
        const auto result = run_scenario("read", {"--failed-percent", "5", "--repeated-percent", "100"});
        check_no_wrong_outcome(result);
        section("most requests are served", [&] {
            CPPUNIT_ASSERT_MESSAGE(result.to_text(), result.served > result.requests / min_served_divisor);
        });
    }

    void a_stream_gets_its_response_behind_the_copy_of_a_refusal()
    {
        const auto result = run_scenario("stream", {"--refused-percent", "5", "--repeated-percent", "100"});
        check_no_wrong_outcome(result);
        check_served(result);
    }

    void half_a_copy_does_not_make_a_refusal_of_the_response_behind_it()
    {
        check_orders(run_scenario(
            "order", {"--refused-percent", "20", "--repeated-percent", "100", "--truncate-copies"}));
    }

    // 12: after the status; 14: before the reason; 31: after the mark.
    void a_cut_copy_does_not_change_the_status_of_the_response_behind_it()
    {
        for (const auto* const bytes : {"31", "14", "12"}) {
            section(std::string{"cut after "} + bytes, [&] {
                check_orders(run_scenario(
                    "order",
                    {"--refused-percent", "20", "--repeated-percent", "100", "--copied-bytes", bytes}));
            });
        }
    }

    void a_server_stays_in_use_after_it_has_answered_misdirected()
    {
        const auto result = run_scenario(
            "read", {"--refuse-without-id", "--refused-percent", "1", "--refusal-status", "421"});
        check_no_wrong_outcome(result);
        check_served(result);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(repeated_response_tests);

} // namespace

} // namespace tanager::testing
