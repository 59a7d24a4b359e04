// Tests which requests are quarantined after servers have ended under them. Guards against requests that take
// down server after server, and against rejecting those that ran beside them.
#include "base/mocks/manual_clock.h"
#include "base/mocks/seeded_random.h"
#include "quarantine/crash_suspicion_codec.h"
#include "quarantine/crash_suspicion_table.h"
#include "quarantine/server_end_detector.h"
#include "testing/section.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>

namespace tanager {

namespace {

using namespace std::chrono_literals;
using testing::section;

constexpr request_trait culprit{66, request_trait::content_specificity};
constexpr request_trait innocent{7, request_trait::content_specificity};
constexpr auto retention = 600s;

// Of servers that end one after the other, each under a request that was sent after the last end.
server_end confirmed(std::uint64_t server)
{
    const auto ended_at = time_point{} + std::chrono::milliseconds{50 * server};
    return {server, true, ended_at, ended_at - 50ms};
}

constexpr request_trait other_culprit{300, request_trait::content_specificity};

server_end presumed(std::uint64_t server)
{
    auto end = confirmed(server);
    end.is_confirmed = false;
    return end;
}

server_end excused(std::uint64_t server)
{
    auto end = presumed(server);
    end.is_excused = true;
    return end;
}

server_end confirmed_between(std::uint64_t server, time_point sent_at, time_point ended_at)
{
    return {server, true, ended_at, sent_at};
}

running_request request_with(const request_trait& content)
{
    return {{content.fingerprint, {}}, {}};
}

class crash_suspicion_tests : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(crash_suspicion_tests);
    CPPUNIT_TEST(quarantines_a_request_under_which_servers_end);
    CPPUNIT_TEST(excuses_a_request_that_a_server_completes);
    CPPUNIT_TEST(quarantines_a_request_whose_ends_another_one_explains);
    CPPUNIT_TEST(merges_suspicions_in_any_order);
    CPPUNIT_TEST(quarantines_the_prompt_part_that_explains_most_ends);
    CPPUNIT_TEST(does_not_suspect_a_prompt_part_that_was_completed_meanwhile);
    CPPUNIT_TEST(does_not_quarantine_the_common_parts_of_prompts_when_many_servers_end_together);
    CPPUNIT_TEST(quarantines_a_prompt_part_whose_requests_end_all_servers_at_once);
    CPPUNIT_TEST(finds_deadly_prompt_parts_among_the_traffic_of_a_site);
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

    void excuses_a_request_that_a_server_completes()
    {
        section("an innocent request ran beside the culprit twice", [] {
            manual_clock time;
            crash_suspicion_table here(time, retention);
            crash_suspicion_table elsewhere(time, retention);
            here.record_end(innocent, confirmed(1));
            elsewhere.merge(*here.find(innocent));
            section("a server completes it", [&] {
                CPPUNIT_ASSERT(here.excuse(innocent));
                CPPUNIT_ASSERT(!here.excuse(innocent));
            });
            const auto excused_end = *here.find(innocent);
            section("what others report of the time before does not count", [&] {
                here.merge(*elsewhere.find(innocent));
                here.record_end(innocent, confirmed(2));
                CPPUNIT_ASSERT(here.quarantine_left(innocent, {}) == 0s);
            });
            section("the others learn that it was completed", [&] {
                elsewhere.record_end(innocent, confirmed(3));
                CPPUNIT_ASSERT(elsewhere.quarantine_left(innocent, {}) > 0s);
                elsewhere.merge(excused_end);
                CPPUNIT_ASSERT(elsewhere.quarantine_left(innocent, {}) == 0s);
            });
            section("two ends since then, at two gateways, count for both", [&] {
                elsewhere.merge(*here.find(innocent));
                here.merge(*elsewhere.find(innocent));
                CPPUNIT_ASSERT(elsewhere.quarantine_left(innocent, {}) > 0s);
                CPPUNIT_ASSERT(here.quarantine_left(innocent, {}) > 0s);
            });
        });
        section("a request is completed now and then, and ends its servers more often", [] {
            manual_clock time;
            crash_suspicion_table table(time, retention);
            table.record_end(culprit, confirmed(1));
            table.excuse(culprit);
            table.record_end(culprit, confirmed(2));
            CPPUNIT_ASSERT(table.quarantine_left(culprit, {}) == 0s);
            table.record_end(culprit, confirmed(3));
            CPPUNIT_ASSERT(table.quarantine_left(culprit, {}) == retention);
        });
        section("far more ends are excused than are kept: the next ones count all the same", [] {
            manual_clock time;
            crash_suspicion_table table(time, retention);
            for (std::uint64_t server = 0; server < 200; ++server) {
                table.record_end(culprit, confirmed(server));
                table.excuse(culprit);
            }
            table.record_end(culprit, confirmed(200));
            table.record_end(culprit, confirmed(201));
            CPPUNIT_ASSERT(table.quarantine_left(culprit, {}) == retention);
        });
    }

    void quarantines_a_request_whose_ends_another_one_explains()
    {
        section("a request has ended three servers, and another one those and a fourth", [] {
            for (const bool is_silent : {false, true}) {
                manual_clock time;
                crash_suspicion_table table(time, retention);
                for (std::uint64_t server = 1; server <= 4; ++server) {
                    const auto end = is_silent ? presumed(server) : confirmed(server);
                    table.record_end(other_culprit, end);
                    if (server <= 3) {
                        table.record_end(culprit, end);
                    }
                }
                section(is_silent ? "both are quarantined when the servers fell silent"
                                  : "both are quarantined when the servers refused connections",
                        [&] {
                            CPPUNIT_ASSERT(table.quarantined() == (std::set{culprit, other_culprit}));
                        });
            }
        });
        section("twenty requests that end servers run on the same eight of them, again and again", [] {
            constexpr std::uint64_t culprit_count = 20;
            constexpr std::uint64_t servers_per_round = 8;
            manual_clock time;
            crash_suspicion_table table(time, retention);
            seeded_random random(7);
            std::map<std::uint64_t, int> ends;
            for (std::uint64_t round = 0; round < 20; ++round) {
                for (std::uint64_t each = 0; each < culprit_count; ++each) {
                    const request_trait content{100 + each, request_trait::content_specificity};
                    if (!table.quarantined().contains(content)) {
                        ++ends[each];
                        const auto server = round * servers_per_round + random.next() % servers_per_round;
                        table.record_end(content, confirmed(server));
                    }
                }
            }
            section("none of them ends more than three", [&] {
                CPPUNIT_ASSERT_EQUAL(std::size_t{culprit_count}, table.quarantined().size());
                for (const auto& [each, count] : ends) {
                    CPPUNIT_ASSERT(count <= 3);
                }
            });
        });
    }

    void merges_suspicions_in_any_order()
    {
        section("gateways exchange what they know in any order, repeatedly and with losses", [] {
            constexpr std::uint64_t seed = 26;
            constexpr int gateway_count = 5;
            constexpr int steps = 400;
            const std::vector<request_trait> traits{culprit, innocent, {1, 0}, {2, 0}, {3, 1}, {4, 2}};
            seeded_random random(seed);
            manual_clock time;
            std::vector<crash_suspicion_table> gateways(gateway_count,
                                                        crash_suspicion_table(time, retention));
            // They know of the same completed parts.
            for (auto& gateway : gateways) {
                std::ranges::for_each(traits, [&](const auto& trait) { gateway.excuse(trait); });
            }
            const auto any = [&]() -> crash_suspicion_table& {
                return gateways[random.next() % gateway_count];
            };
            for (int step = 0; step < steps; ++step) {
                time.advance(1ms);
                const auto trait = traits[random.next() % traits.size()];
                switch (random.next() % 8) {
                case 0:
                    any().record_end(trait,
                                     {random.next() % 6,
                                      random.next() % 2 == 0,
                                      time.now(),
                                      time.now() - std::chrono::milliseconds{random.next() % 20}});
                    break;
                case 1:
                    any().excuse(trait);
                    break;
                default:
                    if (const auto known = any().find(trait)) {
                        any().merge(*known);
                    }
                }
            }
            section("after a full exchange all agree", [&] {
                for (auto& to : gateways) {
                    for (int round = 0; round < 2; ++round) {
                        for (auto& from : gateways) {
                            for (const auto& known : from.take_next(100)) {
                                to.merge(known);
                            }
                        }
                    }
                }
                for (const auto& trait : traits) {
                    const bool expected = gateways[0].quarantine_left(trait, {}) > 0s;
                    for (const auto& each : gateways) {
                        CPPUNIT_ASSERT_EQUAL(expected, each.quarantine_left(trait, {}) > 0s);
                    }
                }
            });
        });
        section("a clearance was lost on its way to one gateway, and much else has happened since", [] {
            constexpr request_trait common_part{1, 0};
            manual_clock time;
            crash_suspicion_table here(time, retention);
            crash_suspicion_table elsewhere(time, retention);
            for (std::uint64_t server = 1; server <= 3; ++server) {
                elsewhere.record_end(common_part, confirmed(server));
            }
            here.merge(*elsewhere.find(common_part));
            here.excuse(common_part);
            for (std::uint64_t other = 100; other < 1'100; ++other) {
                time.advance(1ms);
                here.record_end({other, request_trait::content_specificity}, confirmed(4));
            }
            CPPUNIT_ASSERT(elsewhere.quarantine_left(common_part, {}) > 0s);
            section("it arrives with one of the repeated messages, each of which holds 60 suspicions", [&] {
                for (int message = 0; message < 20; ++message) {
                    for (const auto& known : here.take_next(60)) {
                        elsewhere.merge(known);
                    }
                }
                CPPUNIT_ASSERT(elsewhere.quarantine_left(common_part, {}) == 0s);
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

    void quarantines_the_prompt_part_that_explains_most_ends()
    {
        constexpr request_trait first_part{1, 0};
        constexpr request_trait rare_part{2, 1};
        constexpr request_trait deadly_part{3, 2};
        section("three servers end under different requests with a part, and others ran beside them", [&] {
            manual_clock time;
            crash_suspicion_table table(time, retention);
            for (std::uint64_t server = 1; server <= 3; ++server) {
                CPPUNIT_ASSERT(table.quarantined().empty());
                table.record_end({100 + server, request_trait::content_specificity}, confirmed(server));
                table.record_end(first_part, confirmed(server));
                table.record_end(deadly_part, confirmed(server));
            }
            section("of parts that were on the same servers, the one that fewer prompts share is quarantined",
                    [&] { CPPUNIT_ASSERT(table.quarantined() == std::set{deadly_part}); });
            section("a request that lost two attempts beside it is not", [&] {
                table.record_end(innocent, confirmed(1));
                table.record_end(innocent, confirmed(2));
                CPPUNIT_ASSERT(table.quarantine_left(innocent, {}) == 0s);
                CPPUNIT_ASSERT(table.quarantine_left(innocent, {presumed(3)}) == 0s);
            });
            section("in any position", [&] {
                CPPUNIT_ASSERT(table.quarantine_left({deadly_part.fingerprint, 7}, {}) > 0s);
            });
            section("when further servers end under the first part alone, it is quarantined instead", [&] {
                table.record_end(first_part, confirmed(4));
                CPPUNIT_ASSERT(table.quarantined() == std::set{first_part});
            });
            section("once it is completed, the other one is again", [&] {
                table.excuse(first_part);
                CPPUNIT_ASSERT(table.quarantined() == std::set{deadly_part});
            });
        });
        section("two parts were always together, and servers have completed one of them before", [&] {
            manual_clock time;
            crash_suspicion_table table(time, retention);
            table.excuse(deadly_part);
            time.advance(1s);
            for (std::uint64_t server = 1; server <= 3; ++server) {
                const auto end = confirmed_between(server, time.now(), time.now() + 50ms);
                time.advance(60ms);
                table.record_end(rare_part, end);
                table.record_end(deadly_part, end);
            }
            CPPUNIT_ASSERT(table.quarantined() == std::set{rare_part});
        });
        section("two deadly parts end different servers", [&] {
            manual_clock time;
            crash_suspicion_table table(time, retention);
            for (std::uint64_t server = 1; server <= 3; ++server) {
                table.record_end(first_part, confirmed(server));
                table.record_end(first_part, confirmed(10 + server));
                table.record_end(rare_part, confirmed(server));
                table.record_end(deadly_part, confirmed(10 + server));
            }
            table.excuse(first_part);
            CPPUNIT_ASSERT(table.quarantined() == (std::set{rare_part, deadly_part}));
        });
        section("servers fall silent under a part, which may be a cut: it takes four of them", [&] {
            manual_clock time;
            crash_suspicion_table table(time, retention);
            for (std::uint64_t server = 1; server <= 3; ++server) {
                table.record_end(deadly_part, presumed(server));
            }
            CPPUNIT_ASSERT(table.quarantined().empty());
            table.record_end(deadly_part, presumed(4));
            CPPUNIT_ASSERT(table.quarantined() == std::set{deadly_part});
        });
    }

    void does_not_suspect_a_prompt_part_that_was_completed_meanwhile()
    {
        constexpr request_trait part{1, 0};
        section("a server completes a request with a part while another request with it runs elsewhere", [&] {
            manual_clock time;
            crash_suspicion_table table(time, retention);
            const auto sent_at = time.now();
            time.advance(10ms);
            table.excuse(part);
            time.advance(10ms);
            section("when its server ends, the part is not suspected", [&] {
                CPPUNIT_ASSERT(!table.record_end(part, confirmed_between(1, sent_at, time.now())));
            });
            section("under a request that was sent later it is", [&] {
                CPPUNIT_ASSERT(table.record_end(part, confirmed_between(2, time.now(), time.now())));
            });
        });
        section("far more parts are completed than are remembered: only the oldest are forgotten", [] {
            completion_history history(100);
            for (std::uint64_t each = 0; each < 10'000; ++each) {
                history.record(each, time_point{} + std::chrono::milliseconds{each});
            }
            CPPUNIT_ASSERT(!history.last_completion(9'000));
            CPPUNIT_ASSERT(history.last_completion(9'901) == time_point{} + 9'901ms);
        });
    }

    void does_not_quarantine_the_common_parts_of_prompts_when_many_servers_end_together()
    {
        constexpr request_trait common_part{1, 0};
        section("a rack fails: ten servers end at once under requests with a common part", [&] {
            manual_clock time;
            crash_suspicion_table table(time, retention);
            table.excuse(common_part);
            const auto failed_at = time.now() + 1s;
            std::uint64_t server = 0;
            for (; server < 10; ++server) {
                const auto sent_at = failed_at - std::chrono::milliseconds{1 + server};
                table.record_end(common_part, confirmed_between(server, sent_at, failed_at));
            }
            section("that says nothing about the part", [&] { CPPUNIT_ASSERT(table.quarantined().empty()); });
            section("nor does a retry on an eleventh, whose end was not known yet", [&] {
                table.record_end(common_part, confirmed_between(++server, failed_at + 1ms, failed_at + 4ms));
                CPPUNIT_ASSERT(table.quarantined().empty());
            });
            section("unless a server ends under a request that was sent afterwards", [&] {
                table.record_end(common_part, confirmed_between(++server, failed_at + 9ms, failed_at + 60ms));
                CPPUNIT_ASSERT(table.quarantined() == std::set{common_part});
            });
        });
    }

    void quarantines_a_prompt_part_whose_requests_end_all_servers_at_once()
    {
        constexpr request_trait part{1, 1};
        section("many requests with a part are sent at the same time", [&] {
            manual_clock time;
            crash_suspicion_table table(time, retention);
            const auto ended_at = time.now() + 50ms;
            std::uint64_t server = 0;
            section("servers that end together may do so by coincidence", [&] {
                for (; server < 4; ++server) {
                    table.record_end(part, confirmed_between(server, time.now(), ended_at));
                }
                CPPUNIT_ASSERT(table.quarantined().empty());
            });
            section("but not that many under a part that was never completed", [&] {
                table.record_end(part, confirmed_between(server, time.now(), ended_at));
                CPPUNIT_ASSERT(table.quarantined() == std::set{part});
            });
        });
    }

    // One gateway sees all traffic of a site: prompts of four first parts and many subjects, of which some
    // also have a deadly part, on engines with six slots each.
    void finds_deadly_prompt_parts_among_the_traffic_of_a_site()
    {
        constexpr std::uint64_t seed_count = 40;
        constexpr std::uint64_t subjects = 1'089;
        constexpr std::uint64_t first_subject = 1'000;
        constexpr std::size_t slots = 6;
        const std::vector<request_trait> deadly{{50, 1}, {51, 2}};
        for (std::uint64_t seed = 1; seed <= seed_count; ++seed) {
            section("seed " + std::to_string(seed), [&] {
                seeded_random random(seed);
                manual_clock time;
                crash_suspicion_table table(time, retention);
                const auto sound_parts = [&]() -> std::vector<request_trait> {
                    return {{1 + random.next() % 4, 0}, {first_subject + random.next() % subjects, 1}};
                };
                std::map<request_trait, int> ends;
                for (std::uint64_t server = 1; server <= 60; ++server) {
                    for (int completed = 0; completed < 20; ++completed) {
                        for (const auto& part : sound_parts()) {
                            table.excuse(part);
                        }
                        time.advance(1ms);
                    }
                    const auto& culprit_part = deadly[random.next() % deadly.size()];
                    if (table.quarantined().contains(culprit_part)) {
                        continue;
                    }
                    ++ends[culprit_part];
                    for (std::size_t slot = 0; slot < slots; ++slot) {
                        auto parts = sound_parts();
                        if (slot == 0) {
                            parts.push_back(culprit_part);
                        }
                        for (const auto& part : parts) {
                            table.record_end(part, confirmed_between(server, time.now(), time.now()));
                        }
                    }
                }
                section("each is found out after three servers, and nothing else is quarantined", [&] {
                    CPPUNIT_ASSERT(table.quarantined() == std::set(deadly.begin(), deadly.end()));
                    CPPUNIT_ASSERT_EQUAL(3, ends[deadly[0]]);
                    CPPUNIT_ASSERT_EQUAL(3, ends[deadly[1]]);
                });
            });
        }
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
                table.record_end({first_other + other, request_trait::content_specificity}, confirmed(3));
            }
            CPPUNIT_ASSERT(table.quarantine_left(culprit, {}) > 0s);
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, table.quarantined().size());
            section("suspicions of others that name no server are not kept", [&] {
                CPPUNIT_ASSERT(!table.merge({{77, request_trait::content_specificity}, {}, 0ms}));
                CPPUNIT_ASSERT(!table.find({77, request_trait::content_specificity}));
            });
            section("the oldest of the others are forgotten", [&] {
                CPPUNIT_ASSERT_EQUAL(std::size_t{2'048}, table.take_next(20'000).size());
                CPPUNIT_ASSERT(!table.find({first_other, request_trait::content_specificity}));
                CPPUNIT_ASSERT(culprit == table.take_next(1).front().trait);
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
            section("meanwhile it counts as a possible end", [&] {
                CPPUNIT_ASSERT(detector.pending_ends(culprit.fingerprint) ==
                               (std::vector<server_end>{{1, false, {}, {}, false}}));
            });
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
            const auto now = time_point{} + 1s;
            const std::vector<crash_suspicion> sent{{culprit, {confirmed(5), excused(6)}, 70ms},
                                                    {innocent, {}, 0ms}};
            const auto messages = encode_suspicions(sent, 3'000, now);
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, messages.size());
            const auto& message = messages.front();
            CPPUNIT_ASSERT(*decode_suspicions(message, now) == sent);
            CPPUNIT_ASSERT_EQUAL(culprit.specificity,
                                 decode_suspicions(message, now)->front().trait.specificity);
            section("in several messages if one would be too long", [&] {
                const std::vector<crash_suspicion> many(50, sent.front());
                std::vector<crash_suspicion> received;
                for (const auto& part : encode_suspicions(many, 200, now)) {
                    CPPUNIT_ASSERT(part.size() <= 200);
                    std::ranges::copy(*decode_suspicions(part, now), std::back_inserter(received));
                }
                CPPUNIT_ASSERT(received == many);
            });
            section("every message that is cut off is rejected", [&] {
                for (std::size_t length = 0; length < message.size(); ++length) {
                    CPPUNIT_ASSERT(!decode_suspicions(message.substr(0, length), now));
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
                    static_cast<void>(decode_suspicions(bytes, time_point{}));
                }
            });
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(crash_suspicion_tests);

} // namespace

} // namespace tanager
