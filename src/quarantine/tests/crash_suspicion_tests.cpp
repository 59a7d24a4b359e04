// Tests which requests are quarantined after servers have ended under them. Guards against requests that take
// down server after server, and against rejecting those that ran beside them.
#include "base/mocks/manual_clock.h"
#include "base/mocks/seeded_random.h"
#include "quarantine/crash_suspicion_codec.h"
#include "quarantine/crash_suspicion_table.h"
#include "quarantine/server_end_detector.h"
#include "testing/section.h"

#include <cppunit/extensions/HelperMacros.h>

namespace tanager {

namespace {

using namespace std::chrono_literals;
using testing::section;

constexpr std::uint64_t culprit = 66;
constexpr std::uint64_t innocent = 7;
constexpr auto retention = 600s;

server_end confirmed(std::uint64_t server)
{
    return {server, true};
}

server_end presumed(std::uint64_t server)
{
    return {server, false};
}

request_traits request_with(std::uint64_t content)
{
    return {content, {}};
}

class crash_suspicion_tests : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(crash_suspicion_tests);
    CPPUNIT_TEST(quarantines_a_request_under_which_servers_end);
    CPPUNIT_TEST(clears_a_request_that_a_server_completes);
    CPPUNIT_TEST(merges_suspicions_in_any_order);
    CPPUNIT_TEST(keeps_quarantined_requests_when_many_are_suspected);
    CPPUNIT_TEST(tells_an_ended_server_from_a_lost_connection);
    CPPUNIT_TEST(tells_an_ended_server_from_a_slow_one);
    CPPUNIT_TEST(decodes_arbitrary_messages_safely);
    CPPUNIT_TEST_SUITE_END();

public:
    void quarantines_a_request_under_which_servers_end()
    {
        section("servers end while they run a request", [] {
            manual_clock time;
            crash_suspicion_table table(time, retention);
            table.record_end(culprit, confirmed(1));
            section("after one it is still served, since others ran beside it",
                    [&] { CPPUNIT_ASSERT(table.quarantine_left(culprit, {}) == 0s); });
            section("the same end, recorded twice, counts once", [&] {
                CPPUNIT_ASSERT(!table.record_end(culprit, confirmed(1)));
                CPPUNIT_ASSERT(table.quarantine_left(culprit, {}) == 0s);
            });
            section("after a second one it is quarantined", [&] {
                CPPUNIT_ASSERT(table.record_end(culprit, confirmed(2)));
                CPPUNIT_ASSERT(table.quarantine_left(culprit, {}) == retention);
                CPPUNIT_ASSERT(table.quarantine_left(innocent, {}) == 0s);
            });
            section("until its time has passed", [&] {
                time.advance(retention);
                CPPUNIT_ASSERT(table.quarantine_left(culprit, {}) == 0s);
                table.remove_expired();
                CPPUNIT_ASSERT(table.is_empty());
            });
        });
        section("servers fall silent while they run a request, which may be a cut", [] {
            manual_clock time;
            crash_suspicion_table table(time, retention);
            table.record_end(culprit, presumed(1));
            table.record_end(culprit, presumed(2));
            CPPUNIT_ASSERT(table.quarantine_left(culprit, {}) == 0s);
            section("it takes three of them", [&] {
                table.record_end(culprit, presumed(3));
                CPPUNIT_ASSERT(table.quarantine_left(culprit, {}) == retention);
            });
        });
        section("a third server may just have ended", [] {
            manual_clock time;
            crash_suspicion_table table(time, retention);
            table.record_end(culprit, presumed(1));
            table.record_end(culprit, presumed(2));
            CPPUNIT_ASSERT(table.quarantine_left(culprit, {presumed(3)}) == retention);
            CPPUNIT_ASSERT(table.quarantine_left(culprit, {presumed(2)}) == 0s);
        });
    }

    void clears_a_request_that_a_server_completes()
    {
        section("an innocent request ran beside the culprit twice", [] {
            manual_clock time;
            crash_suspicion_table here(time, retention);
            crash_suspicion_table elsewhere(time, retention);
            here.record_end(innocent, confirmed(1));
            elsewhere.merge(*here.find(innocent));
            section("a server completes it", [&] {
                CPPUNIT_ASSERT(here.clear(innocent));
                CPPUNIT_ASSERT(!here.clear(innocent));
            });
            section("what others report of the time before does not count", [&] {
                here.merge(*elsewhere.find(innocent));
                here.record_end(innocent, confirmed(2));
                CPPUNIT_ASSERT(here.quarantine_left(innocent, {}) == 0s);
            });
            section("the others learn that it was cleared", [&] {
                elsewhere.record_end(innocent, confirmed(3));
                CPPUNIT_ASSERT(elsewhere.quarantine_left(innocent, {}) > 0s);
                elsewhere.merge(*here.find(innocent));
                CPPUNIT_ASSERT(elsewhere.quarantine_left(innocent, {}) == 0s);
            });
        });
    }

    void merges_suspicions_in_any_order()
    {
        section("gateways exchange what they know in any order, repeatedly and with losses", [] {
            constexpr std::uint64_t seed = 26;
            constexpr int gateway_count = 5;
            constexpr int steps = 400;
            seeded_random random(seed);
            manual_clock time;
            std::vector<crash_suspicion_table> gateways(gateway_count,
                                                        crash_suspicion_table(time, retention));
            const auto any = [&]() -> crash_suspicion_table& {
                return gateways[random.next() % gateway_count];
            };
            for (int step = 0; step < steps; ++step) {
                time.advance(1ms);
                const auto fingerprint = random.next() % 4;
                switch (random.next() % 8) {
                case 0:
                    any().record_end(fingerprint, {random.next() % 6, random.next() % 2 == 0});
                    break;
                case 1:
                    any().clear(fingerprint);
                    break;
                default:
                    if (const auto known = any().find(fingerprint)) {
                        any().merge(*known);
                    }
                }
            }
            section("after a full exchange all agree", [&] {
                for (auto& to : gateways) {
                    for (int round = 0; round < 2; ++round) {
                        for (const auto& from : gateways) {
                            for (const auto& known : from.most_relevant(100)) {
                                to.merge(known);
                            }
                        }
                    }
                }
                for (std::uint64_t fingerprint = 0; fingerprint < 4; ++fingerprint) {
                    const bool expected = gateways[0].quarantine_left(fingerprint, {}) > 0s;
                    for (const auto& each : gateways) {
                        CPPUNIT_ASSERT_EQUAL(expected, each.quarantine_left(fingerprint, {}) > 0s);
                    }
                }
            });
        });
        section("passing a suspicion on does not renew it", [] {
            manual_clock time;
            crash_suspicion_table first(time, retention);
            crash_suspicion_table second(time, retention);
            first.record_end(culprit, confirmed(1));
            first.record_end(culprit, confirmed(2));
            time.advance(400s);
            second.merge(*first.find(culprit));
            time.advance(100s);
            first.merge(*second.find(culprit));
            CPPUNIT_ASSERT(first.quarantine_left(culprit, {}) == 100s);
            CPPUNIT_ASSERT(second.quarantine_left(culprit, {}) == 100s);
        });
    }

    void keeps_quarantined_requests_when_many_are_suspected()
    {
        section("ten thousand requests ran on servers that ended, and one is quarantined", [] {
            manual_clock time;
            crash_suspicion_table table(time, retention);
            table.record_end(culprit, confirmed(1));
            table.record_end(culprit, confirmed(2));
            constexpr std::uint64_t first_other = 1'000;
            for (std::uint64_t other = 0; other < 10'000; ++other) {
                time.advance(1ms);
                table.record_end(first_other + other, confirmed(3));
            }
            CPPUNIT_ASSERT(table.quarantine_left(culprit, {}) > 0s);
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, table.quarantined_count());
            section("the oldest of the others are forgotten", [&] {
                CPPUNIT_ASSERT_EQUAL(std::size_t{1'024}, table.most_relevant(20'000).size());
                CPPUNIT_ASSERT(!table.find(first_other));
                CPPUNIT_ASSERT_EQUAL(culprit, table.most_relevant(1).front().fingerprint);
            });
        });
    }

    void tells_an_ended_server_from_a_lost_connection()
    {
        section("the connections of two requests on one server break", [] {
            manual_clock time;
            server_end_detector detector(time);
            CPPUNIT_ASSERT(detector.record_lost_connection(1, request_with(culprit)));
            section("one new connection is tried",
                    [&] { CPPUNIT_ASSERT(!detector.record_lost_connection(1, request_with(innocent))); });
            section("meanwhile it counts as a possible end",
                    [&] { CPPUNIT_ASSERT(detector.pending_ends(culprit) == std::vector{presumed(1)}); });
            section("bytes from a third connection prove nothing, they may be old",
                    [&] { CPPUNIT_ASSERT(detector.record_response(1).empty()); });
            section("the server accepts the connection: it has not ended", [&] {
                const auto decided = detector.record_connect(1, true);
                CPPUNIT_ASSERT_EQUAL(std::size_t{1}, decided.size());
                CPPUNIT_ASSERT(!decided.front().has_ended);
                CPPUNIT_ASSERT(detector.is_idle());
            });
            section("another one refuses: it has ended under both requests", [&] {
                detector.record_lost_connection(2, request_with(culprit));
                detector.record_lost_connection(2, request_with(innocent));
                time.advance(3ms);
                const auto decided = detector.record_connect(2, false);
                CPPUNIT_ASSERT(decided ==
                               (std::vector<decided_end>{{2,
                                                          end_sign::connection_lost,
                                                          true,
                                                          3ms,
                                                          {request_with(culprit), request_with(innocent)}}}));
            });
        });
    }

    void tells_an_ended_server_from_a_slow_one()
    {
        section("a request has had no response for long", [] {
            manual_clock time;
            server_end_detector detector(time);
            detector.record_silence(1, request_with(culprit));
            CPPUNIT_ASSERT(detector.take_silent().empty());
            section("the server sends something to another request: it is slow", [&] {
                CPPUNIT_ASSERT(!detector.record_response(1).front().has_ended);
                time.advance(10s);
                CPPUNIT_ASSERT(detector.take_silent().empty());
            });
            section("it sends nothing for half a second: it has ended", [&] {
                detector.record_silence(1, request_with(culprit));
                time.advance(500ms);
                const auto decided = detector.take_silent();
                CPPUNIT_ASSERT(decided == (std::vector<decided_end>{
                                              {1, end_sign::silence, true, 500ms, {request_with(culprit)}}}));
            });
        });
    }

    void decodes_arbitrary_messages_safely()
    {
        section("suspicions are decoded as they were encoded", [] {
            const std::vector<crash_suspicion> sent{{culprit, 2, {confirmed(5), presumed(6)}, 70ms},
                                                    {innocent, 0, {}, 0ms}};
            const auto message = encode_suspicions(sent);
            CPPUNIT_ASSERT(*decode_suspicions(message) == sent);
            section("every message that is cut off is rejected", [&] {
                for (std::size_t length = 0; length < message.size(); ++length) {
                    CPPUNIT_ASSERT(!decode_suspicions(message.substr(0, length)));
                }
            });
            section("random bytes are rejected or decoded", [] {
                constexpr std::uint64_t seed = 5;
                seeded_random random(seed);
                for (int round = 0; round < 20'000; ++round) {
                    std::string bytes(random.next() % 40, '\0');
                    for (auto& byte : bytes) {
                        byte = static_cast<char>(random.next());
                    }
                    static_cast<void>(decode_suspicions(bytes));
                }
            });
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(crash_suspicion_tests);

} // namespace

} // namespace tanager
