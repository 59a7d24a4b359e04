#include "base/mocks/manual_clock.h"
#include "peers/load_codec.h"
#include "peers/peer_loads.h"
#include "peers/report_interval.h"
#include "testing/section.h"

#include <cppunit/extensions/HelperMacros.h>
#include <utility>

namespace tanager {

namespace {

using namespace std::chrono_literals;
using testing::section;

load_report make_report(std::uint64_t incarnation, std::uint64_t sequence, std::uint32_t running)
{
    return {incarnation,
            sequence,
            {{name_hash("engine"), running, running * 100, running / 2}},
            {{name_hash("service"), running * 10, running > 2}},
            {name_hash("changing"), running},
            {{name_hash("engine"), running + 1}, {name_hash("engine"), running + 2}},
            {{running, running, running + 1, std::chrono::milliseconds{running}}},
            running == 1,
            running * 3,
            running * 5,
            {{name_hash("engine"), running, 30ms * running, running, 250ms}}};
}

class peers_tests : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(peers_tests);
    CPPUNIT_TEST(counts_the_newest_report_of_each_peer);
    CPPUNIT_TEST(drops_silent_peers);
    CPPUNIT_TEST(knows_which_peers_can_carry_more);
    CPPUNIT_TEST(leaves_a_slow_link_to_requests);
    CPPUNIT_TEST(decodes_arbitrary_datagrams_safely);
    CPPUNIT_TEST_SUITE_END();

public:
    void counts_the_newest_report_of_each_peer()
    {
        section("two peers report their load on one engine", [] {
            const manual_clock time;
            peer_loads loads(time, 1s);
            loads.apply("first", make_report(5, 1, 2));
            loads.apply("second", make_report(7, 1, 3));
            CPPUNIT_ASSERT_EQUAL(5U, loads.on_server("engine").running);
            CPPUNIT_ASSERT_EQUAL(500U, loads.on_server("engine").pending_prefill_tokens);
            CPPUNIT_ASSERT_EQUAL(50U, loads.prompts_per_second("service"));
            CPPUNIT_ASSERT_EQUAL(0U, loads.prompts_per_second("another"));
            CPPUNIT_ASSERT(loads.should_isolate_long_outputs("service"));
            CPPUNIT_ASSERT(!loads.should_isolate_long_outputs("another"));
            CPPUNIT_ASSERT(loads.is_changing_role("changing"));
            CPPUNIT_ASSERT(!loads.is_changing_role("engine"));
            CPPUNIT_ASSERT(loads.peers_with_store() == (std::vector<std::string>{"first", "second"}));
            section("a newer report replaces the older one", [&] {
                CPPUNIT_ASSERT(loads.apply("first", make_report(5, 3, 1)));
                CPPUNIT_ASSERT_EQUAL(4U, loads.on_server("engine").running);
                CPPUNIT_ASSERT(loads.peers_with_store() == std::vector<std::string>{"second"});
            });
            section("a report that arrives out of order or twice changes nothing", [&] {
                CPPUNIT_ASSERT(!loads.apply("first", make_report(5, 2, 6)));
                CPPUNIT_ASSERT(!loads.apply("first", make_report(5, 3, 1)));
                CPPUNIT_ASSERT_EQUAL(4U, loads.on_server("engine").running);
            });
            section("a restarted process replaces its predecessor, whose late reports are ignored", [&] {
                CPPUNIT_ASSERT(loads.apply("first", make_report(9, 1, 0)));
                CPPUNIT_ASSERT(!loads.apply("first", make_report(5, 4, 6)));
                CPPUNIT_ASSERT_EQUAL(3U, loads.on_server("engine").running);
            });
        });
    }

    void drops_silent_peers()
    {
        section("a peer is killed while its requests run", [] {
            manual_clock time;
            peer_loads loads(time, 1s);
            loads.apply("killed", make_report(5, 1, 6));
            CPPUNIT_ASSERT(loads.expire() == (std::vector<peer_change>{{"killed", true}}));
            time.advance(1s + 1ms);
            CPPUNIT_ASSERT(loads.expire() == (std::vector<peer_change>{{"killed", false}}));
            CPPUNIT_ASSERT_EQUAL(0U, loads.on_server("engine").running);
            CPPUNIT_ASSERT_EQUAL(0U, loads.prompts_per_second("service"));
            CPPUNIT_ASSERT(!loads.is_changing_role("changing"));
            CPPUNIT_ASSERT(!loads.should_isolate_long_outputs("service"));
            CPPUNIT_ASSERT_EQUAL(std::size_t{0}, loads.live_peer_count());
            section("a report that names one server twice does no harm when it is dropped", [&] {
                load_report doubled;
                doubled.loads = {{7, 1, 0, 0}, {7, 0, 0, 0}};
                doubled.demands = {{8, 1, false}, {8, 0, false}};
                loads.apply("doubled", doubled);
                time.advance(1s + 1ms);
                loads.expire();
            });
        });
    }

    void knows_which_peers_can_carry_more()
    {
        section("three peers report how long a prompt waits for their links", [] {
            manual_clock time;
            peer_loads loads(time, 1s);
            for (const auto& [peer, running] : {std::pair{"fast", 0U}, {"busy", 10U}, {"full", 60U}}) {
                loads.apply(peer, make_report(5, 1, running));
            }
            CPPUNIT_ASSERT_EQUAL(std::size_t{2}, loads.peers_with_link_room(50ms));
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, loads.peers_with_link_room(0ms));
            section("their views are as old as the slowest reporter's", [&] {
                loads.expire();
                CPPUNIT_ASSERT(loads.longest_report_interval() == 300ms);
                section("until it is dropped", [&] {
                    time.advance(1s + 1ms);
                    loads.expire();
                    CPPUNIT_ASSERT(loads.longest_report_interval() == 0ms);
                    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, loads.peers_with_link_room(1h));
                });
            });
        });
    }

    // Load: 26 gateways report 300 bytes on each server and peer, over links of 10 or 200 Mbit/s.
    void leaves_a_slow_link_to_requests()
    {
        section("a fast or unlimited link reports at the rate that fits the number of peers", [] {
            CPPUNIT_ASSERT(min_time_between_reports(0, 0ms) == 5ms);
            CPPUNIT_ASSERT(min_time_between_reports(25, 0ms) == 20ms);
            CPPUNIT_ASSERT(min_time_between_reports(25, 350us) == 20ms);
            CPPUNIT_ASSERT(min_time_between_reports(299, 4ms) == 245ms);
        });
        section("a slow link spends a twelfth of its time on reports",
                [] { CPPUNIT_ASSERT(min_time_between_reports(25, 4ms) == 48ms); });
        section("unless its peers would know too little of its load", [] {
            CPPUNIT_ASSERT(min_time_between_reports(25, 7ms) == 50ms);
            CPPUNIT_ASSERT(min_time_between_reports(65, 19ms) == 50ms);
        });
    }

    void decodes_arbitrary_datagrams_safely()
    {
        // Guards against a bound on the elements of a list that is above the size of the shortest element.
        section("a report lists many servers and nothing else: none is left out", [] {
            load_report report;
            report.loads.assign(100, {name_hash("engine"), 1, 0, 0});
            const auto decoded = decode_report(encode_report({"peer", report}));
            CPPUNIT_ASSERT(decoded.has_value());
            CPPUNIT_ASSERT(decoded->report == report);
        });
        section("a decoded report equals the encoded one", [] {
            const named_report sent{"first", make_report(5, 1, 2)};
            CPPUNIT_ASSERT(decode_report(encode_report(sent)) == sent);
            section("every truncated datagram is rejected", [&] {
                const auto datagram = encode_report(sent);
                for (std::size_t length = 0; length < datagram.size(); ++length) {
                    CPPUNIT_ASSERT(!decode_report(datagram.substr(0, length)));
                }
            });
            section("a datagram with a changed byte does not crash the decoder", [&] {
                for (std::size_t position = 0; position < encode_report(sent).size(); ++position) {
                    for (int value = 0; value < 256; ++value) { // NOLINT(*-magic-numbers)
                        auto datagram = encode_report(sent);
                        datagram[position] = static_cast<char>(value);
                        static_cast<void>(decode_report(datagram));
                    }
                }
            });
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(peers_tests);

} // namespace

} // namespace tanager
