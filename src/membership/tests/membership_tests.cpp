#include "base/mocks/manual_clock.h"
#include "membership/peer_monitor.h"
#include "membership/watcher_election.h"
#include "testing/section.h"

#include <cppunit/extensions/HelperMacros.h>

using tanager::testing::section;

namespace tanager {

namespace {

constexpr std::chrono::seconds heartbeat_timeout{2};

} // namespace

class membership_tests : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(membership_tests);
    CPPUNIT_TEST(suspects_silent_and_disconnected_peers);
    CPPUNIT_TEST(ignores_heartbeats_of_superseded_incarnations);
    CPPUNIT_TEST(leaving_comes_from_heartbeat_or_host_list);
    CPPUNIT_TEST(elects_the_requested_number_of_watchers);
    CPPUNIT_TEST_SUITE_END();

public:
    void suspects_silent_and_disconnected_peers()
    {
        manual_clock time;
        peer_monitor monitor(time);
        CPPUNIT_ASSERT(monitor.state_of("a") == peer_state::unknown);
        monitor.record_heartbeat("a", 1, false, heartbeat_timeout);
        CPPUNIT_ASSERT(monitor.state_of("a") == peer_state::live);
        section("a peer is suspected after the heartbeat timeout", [&] {
            time.advance(std::chrono::milliseconds{2'001});
            CPPUNIT_ASSERT(monitor.state_of("a") == peer_state::suspected);
            monitor.record_heartbeat("a", 1, false, heartbeat_timeout);
            CPPUNIT_ASSERT(monitor.state_of("a") == peer_state::live);
        });
        section("a peer is suspected at once when its connection breaks", [&] {
            monitor.record_broken_connection("a");
            CPPUNIT_ASSERT(monitor.state_of("a") == peer_state::suspected);
        });
        const auto changes = monitor.take_changes();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, changes.size());
        CPPUNIT_ASSERT(changes.front() == (peer_change{"a", peer_state::unknown, peer_state::suspected}));
        CPPUNIT_ASSERT(monitor.take_changes().empty());
    }

    void ignores_heartbeats_of_superseded_incarnations()
    {
        manual_clock time;
        peer_monitor monitor(time);
        monitor.record_heartbeat("a", 7, true, heartbeat_timeout);
        CPPUNIT_ASSERT(monitor.state_of("a") == peer_state::leaving);
        section("a new incarnation starts as live", [&] {
            CPPUNIT_ASSERT(monitor.record_heartbeat("a", 9, false, heartbeat_timeout));
            CPPUNIT_ASSERT(monitor.state_of("a") == peer_state::live);
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, monitor.incarnation_of("a"));
        });
        section("a late heartbeat of the previous incarnation is ignored", [&] {
            CPPUNIT_ASSERT(!monitor.record_heartbeat("a", 7, true, heartbeat_timeout));
            CPPUNIT_ASSERT(monitor.state_of("a") == peer_state::live);
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, monitor.incarnation_of("a"));
        });
    }

    void leaving_comes_from_heartbeat_or_host_list()
    {
        manual_clock time;
        peer_monitor monitor(time);
        monitor.record_heartbeat("a", 1, false, heartbeat_timeout);
        monitor.set_listed_as_leaving("a", true);
        CPPUNIT_ASSERT(monitor.state_of("a") == peer_state::leaving);
        section("a heartbeat does not override the host list", [&] {
            monitor.record_heartbeat("a", 1, false, heartbeat_timeout);
            CPPUNIT_ASSERT(monitor.state_of("a") == peer_state::leaving);
        });
        section("the host list can revoke leaving, a heartbeat cannot", [&] {
            monitor.set_listed_as_leaving("a", false);
            CPPUNIT_ASSERT(monitor.state_of("a") == peer_state::live);
            monitor.record_heartbeat("a", 1, true, heartbeat_timeout);
            monitor.record_heartbeat("a", 1, false, heartbeat_timeout);
            CPPUNIT_ASSERT(monitor.state_of("a") == peer_state::leaving);
        });
    }

    void elects_the_requested_number_of_watchers()
    {
        std::vector<std::string> hosts;
        hosts.reserve(40);
        for (int i = 0; i < 40; ++i) {
            hosts.push_back("entry-" + std::to_string(i));
        }
        std::size_t elected_count = 0;
        for (const auto& host : hosts) {
            elected_count += is_elected_watcher(host, hosts, 3) ? 1 : 0;
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, elected_count);
        CPPUNIT_ASSERT(is_elected_watcher("alone", {}, 1));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(membership_tests);

} // namespace tanager
