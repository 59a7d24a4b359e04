// Several gateways of one data centre as real processes that pass changes of the store on to each other.
#include "testing/section.h"
#include "tests/support/gateway_group.h"

#include <cppunit/extensions/HelperMacros.h>

namespace tanager::testing {

namespace {

constexpr int status_ok = 200;

class gateway_group_tests : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(gateway_group_tests);
    CPPUNIT_TEST(follows_the_store_through_elected_gateways);
    CPPUNIT_TEST(serves_again_after_all_gateways_lost_power);
    CPPUNIT_TEST_SUITE_END();

public:
    void follows_the_store_through_elected_gateways()
    {
        section("five gateways share a data centre", [] {
            gateway_group group(5);
            const auto watchers = group.wait_for_election();
            section("a configuration reaches those that do not watch the store from one that does", [&] {
                for (auto& [host, each] : group.members) {
                    if (std::ranges::find(watchers, host) == watchers.end()) {
                        each.process->wait_for_line("relay_used prefix=config/");
                    }
                }
                group.apply_configuration(5);
                group.wait_for_configuration(5);
                for (auto& [host, each] : group.members) {
                    if (std::ranges::find(watchers, host) == watchers.end()) {
                        each.process->wait_for_line("changes_relayed prefix=config/");
                    }
                }
            });
            section("both are killed, and others are elected", [&] {
                for (const auto& host : watchers) {
                    group.kill(host);
                }
                group.apply_configuration(7);
                group.wait_for_configuration(7);
                CPPUNIT_ASSERT_EQUAL(std::size_t{2}, group.wait_for_election().size());
                group.apply_configuration(9);
                group.wait_for_configuration(9);
            });
        });
    }

    void serves_again_after_all_gateways_lost_power()
    {
        section("three gateways lose power at the same moment, right after a configuration", [] {
            gateway_group group(3);
            group.wait_for_election();
            group.apply_configuration(5);
            std::vector<std::string> hosts;
            for (const auto& [host, each] : group.members) {
                each.process->send_signal(SIGKILL);
                hosts.push_back(host);
            }
            for (const auto& host : hosts) {
                group.kill(host);
            }
            section("once they run again, each serves with that configuration", [&] {
                for (const auto& host : hosts) {
                    group.start(host);
                }
                group.wait_for_configuration(5);
                for (const auto& host : hosts) {
                    group.wait_for_metric(host, "tanager_servers_taking_work", 2);
                    CPPUNIT_ASSERT_EQUAL(status_ok, group.fetch_status(host));
                }
            });
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(gateway_group_tests);

} // namespace

} // namespace tanager::testing
