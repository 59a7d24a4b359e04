// Requests that end backend servers go on while gateways restart, beside others of their kind, or in other
// ways than before. Guards against gateways that do not know of a quarantine, or that give it up: three ends
// of a request are known, and it ends more servers all the same.
#include "tests/support/crash_scenario.h"

namespace tanager::testing {

namespace {

using namespace std::chrono_literals;

class forgotten_quarantine_tests : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(forgotten_quarantine_tests);
    CPPUNIT_TEST(a_gateway_that_has_just_started_sends_no_request_that_the_others_refuse);
    CPPUNIT_TEST(a_request_is_known_after_all_gateways_have_restarted_at_once);
    CPPUNIT_TEST(a_request_is_known_although_others_end_the_same_servers_and_gateways_restart);
    CPPUNIT_TEST(a_request_is_known_although_its_servers_fall_silent_and_gateways_restart);
    CPPUNIT_TEST(a_request_is_known_although_many_others_end_the_same_servers);
    CPPUNIT_TEST(a_request_is_known_although_its_caller_sends_other_credentials);
    CPPUNIT_TEST(a_request_is_known_although_its_servers_end_in_the_middle_of_a_response);
    CPPUNIT_TEST_SUITE_END();

public:
    void a_gateway_that_has_just_started_sends_no_request_that_the_others_refuse()
    {
        check_crash_scenario({.gateway_restart_interval = 1'200ms});
    }

    void a_request_is_known_after_all_gateways_have_restarted_at_once()
    {
        check_crash_scenario({.gateway_restart_interval = 4s, .restarts_all_gateways = true});
    }

    void a_request_is_known_although_others_end_the_same_servers_and_gateways_restart()
    {
        check_crash_scenario({.gateway_count = 4,
                              .server_count = 3,
                              .culprit_count = 4,
                              .crash_after_ms = "60",
                              .gateway_restart_interval = 1'200ms});
    }

    void a_request_is_known_although_its_servers_fall_silent_and_gateways_restart()
    {
        check_crash_scenario({.gateway_count = 4,
                              .server_count = 3,
                              .culprit_count = 5,
                              .crash_mode = "silent",
                              .gateway_restart_interval = 1'200ms});
    }

    void a_request_is_known_although_many_others_end_the_same_servers()
    {
        check_crash_scenario({.gateway_count = 2, .culprit_count = 20, .crash_after_ms = "60"});
    }

    void a_request_is_known_although_its_caller_sends_other_credentials()
    {
        check_crash_scenario({.gateway_count = 2, .has_changing_credentials = true});
    }

    void a_request_is_known_although_its_servers_end_in_the_middle_of_a_response()
    {
        check_crash_scenario({.gateway_count = 2, .crash_mode = "midway"});
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(forgotten_quarantine_tests);

} // namespace

} // namespace tanager::testing
