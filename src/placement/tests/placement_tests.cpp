#include "base/mocks/seeded_random.h"
#include "placement/server_selection.h"
#include "testing/section.h"

#include <cppunit/extensions/HelperMacros.h>
#include <map>

namespace tanager {

namespace {

using namespace std::chrono_literals;
using testing::section;

constexpr std::uint64_t seed = 20261204;

;

placement_candidate
make_candidate(const std::string& id, engine_role role, double prefill_milliseconds_per_token)
{
    auto server = std::make_shared<backend_server>();
    server->id = id;
    server->slots = 6;
    server->role = role;
    placement_candidate candidate;
    candidate.server = server;
    candidate.prefill_milliseconds_per_token = prefill_milliseconds_per_token;
    return candidate;
}

// Seven engines that generate and two that read, as fast as the smaller site's.
std::vector<placement_candidate> make_fleet()
{
    std::vector<placement_candidate> fleet;
    for (int index = 0; index < 7; ++index) {
        fleet.push_back(make_candidate("d" + std::to_string(index), engine_role::decode, 1.0 / 375));
        fleet.back().base_latency_milliseconds = 30;
    }
    for (int index = 0; index < 2; ++index) {
        fleet.push_back(make_candidate("p" + std::to_string(index), engine_role::prefill, 1.0 / 750));
    }
    return fleet;
}

constexpr prompt_shape long_prompt{77, 6'300, 2'900, 100};
constexpr prompt_shape long_output{0, 80, 140, 6'000};

class placement_tests : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(placement_tests);
    CPPUNIT_TEST(spreads_plain_requests);
    CPPUNIT_TEST(skips_unusable_servers);
    CPPUNIT_TEST(prefills_long_prompts_on_a_separate_engine);
    CPPUNIT_TEST(decodes_in_the_same_data_centre_unless_it_is_fuller);
    CPPUNIT_TEST(sends_a_prefix_to_the_same_engine);
    CPPUNIT_TEST(moves_few_prefixes_when_an_engine_leaves);
    CPPUNIT_TEST(fails_rather_than_miss_the_time_left);
    CPPUNIT_TEST(places_oversized_prompts_on_lightly_loaded_engines);
    CPPUNIT_TEST(sends_short_prompts_to_the_least_used_engine);
    CPPUNIT_TEST(accounts_for_the_send_delay);
    CPPUNIT_TEST(isolates_long_outputs_on_few_engines);
    CPPUNIT_TEST_SUITE_END();

public:
    void spreads_plain_requests()
    {
        section("three plain servers, one of them with less to do", [] {
            seeded_random random(seed);
            std::vector<placement_candidate> servers;
            for (const auto* const id : {"a", "b", "c"}) {
                servers.push_back(make_candidate(id, engine_role::none, 0));
                servers.back().local_running = 2;
            }
            servers[1].local_running = 0;
            servers[1].peer_running = 1;
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, choose_plain_server(servers, random)->server);
            section("draws among equals", [&] {
                servers[1].local_running = 1;
                std::map<std::size_t, int> counts;
                for (int count = 0; count < 300; ++count) {
                    ++counts[choose_plain_server(servers, random)->server];
                }
                CPPUNIT_ASSERT_EQUAL(std::size_t{3}, counts.size());
                CPPUNIT_ASSERT(counts[0] > 60);
            });
            section("finds no place where each has as many waiting as running", [&] {
                for (auto& server : servers) {
                    server.local_running = 12;
                }
                CPPUNIT_ASSERT(choose_plain_server(servers, random).error() == placement_error::no_free_slot);
            });
        });
    }

    void skips_unusable_servers()
    {
        section("two servers, of which one is aside", [] {
            seeded_random random(seed);
            std::vector servers{make_candidate("a", engine_role::none, 0),
                                make_candidate("b", engine_role::none, 0)};
            servers[0].is_excluded = true;
            servers[1].local_running = 5;
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, choose_plain_server(servers, random)->server);
            section("a server on trial gets one request at a time", [&] {
                servers[0].is_excluded = false;
                servers[0].is_probing = true;
                CPPUNIT_ASSERT_EQUAL(std::size_t{0}, choose_plain_server(servers, random)->server);
                servers[0].local_running = 1;
                CPPUNIT_ASSERT_EQUAL(std::size_t{1}, choose_plain_server(servers, random)->server);
            });
            section("where all are aside, one is used all the same", [&] {
                servers[0].is_excluded = true;
                servers[1].is_excluded = true;
                CPPUNIT_ASSERT(choose_plain_server(servers, random).has_value());
            });
            section("where all were tried, none is", [&] {
                servers[0].was_tried = true;
                servers[1].was_tried = true;
                CPPUNIT_ASSERT(choose_plain_server(servers, random).error() ==
                               placement_error::no_available_server);
            });
        });
    }

    void prefills_long_prompts_on_a_separate_engine()
    {
        section("an idle fleet gets a long prompt", [] {
            seeded_random random(seed);
            auto fleet = make_fleet();
            const auto chosen = choose_engines(long_prompt, 100ms, fleet, random);
            CPPUNIT_ASSERT(chosen->prefill_engine.has_value());
            CPPUNIT_ASSERT(fleet[*chosen->prefill_engine].server->role == engine_role::prefill);
            CPPUNIT_ASSERT(fleet[chosen->server].server->role == engine_role::decode);
            section("the engine that generates reads it itself when the readers are busy", [&] {
                fleet[7].pending_prefill_tokens = 60'000;
                fleet[8].pending_prefill_tokens = 60'000;
                const auto on_decode_engine = choose_engines(long_prompt, 100ms, fleet, random);
                CPPUNIT_ASSERT(!on_decode_engine->prefill_engine.has_value());
            });
        });
    }

    void decodes_in_the_same_data_centre_unless_it_is_fuller()
    {
        section("a long prompt is read apart, and one engine of this data centre has room", [] {
            seeded_random random(seed);
            auto fleet = make_fleet();
            fleet[3].is_same_data_centre = true;
            fleet[3].peer_running = 1;
            CPPUNIT_ASSERT_EQUAL(std::size_t{3}, choose_engines(long_prompt, 100ms, fleet, random)->server);
            section("it goes to another data centre when this one is much fuller", [&] {
                fleet[3].peer_running = 4;
                CPPUNIT_ASSERT(choose_engines(long_prompt, 100ms, fleet, random)->server != 3);
            });
        });
    }

    // Checks come in bursts in which hundreds of subjects repeat; reading a subject again costs more than a
    // check.
    void sends_a_prefix_to_the_same_engine()
    {
        section("one subject is asked for again and again, from any gateway", [] {
            seeded_random random(seed);
            const auto fleet = make_fleet();
            const auto first = choose_engines(long_prompt, 100ms, fleet, random);
            for (int count = 0; count < 50; ++count) {
                const auto again = choose_engines(long_prompt, 100ms, fleet, random);
                CPPUNIT_ASSERT(again->prefill_engine == first->prefill_engine);
                CPPUNIT_ASSERT_EQUAL(long_prompt.suffix_tokens, again->prefill_tokens);
            }
        });
    }

    void moves_few_prefixes_when_an_engine_leaves()
    {
        section("a thousand subjects, and readers of which one goes", [] {
            seeded_random random(seed);
            std::vector<placement_candidate> before = make_fleet();
            for (int index = 2; index < 5; ++index) {
                before.push_back(
                    make_candidate("p" + std::to_string(index), engine_role::prefill, 1.0 / 750));
            }
            auto after = before;
            after.pop_back();
            int moved = 0;
            for (std::uint64_t key = 1; key <= 1'000; ++key) {
                auto prompt = long_prompt;
                prompt.prefix_key = key;
                const auto old_engine = *choose_engines(prompt, 100ms, before, random)->prefill_engine;
                const auto new_engine = *choose_engines(prompt, 100ms, after, random)->prefill_engine;
                moved += old_engine == new_engine ? 0 : 1;
            }
            CPPUNIT_ASSERT(moved > 150);
            CPPUNIT_ASSERT(moved < 250);
        });
    }

    void fails_rather_than_miss_the_time_left()
    {
        section("each engine has more to read than fits the time left", [] {
            seeded_random random(seed);
            auto fleet = make_fleet();
            for (auto& candidate : fleet) {
                candidate.pending_prefill_tokens = 100'000;
            }
            CPPUNIT_ASSERT(choose_engines(long_prompt, 100ms, fleet, random).error() ==
                           placement_error::no_free_slot);
        });
        section("each slot is taken", [] {
            seeded_random random(seed);
            auto fleet = make_fleet();
            for (auto& candidate : fleet) {
                candidate.peer_running = 6;
            }
            CPPUNIT_ASSERT(choose_engines(long_output, 100ms, fleet, random).error() ==
                           placement_error::no_free_slot);
        });
        section("only readers are left", [] {
            seeded_random random(seed);
            auto fleet = make_fleet();
            fleet.erase(fleet.begin(), fleet.begin() + 7);
            CPPUNIT_ASSERT(choose_engines(long_output, 100ms, fleet, random).error() ==
                           placement_error::no_available_server);
        });
    }

    void places_oversized_prompts_on_lightly_loaded_engines()
    {
        section("a prompt that no engine could read within its objective", [] {
            seeded_random random(seed);
            auto fleet = make_fleet();
            auto prompt = long_prompt;
            prompt.suffix_tokens = 90'000;
            CPPUNIT_ASSERT(choose_engines(prompt, 100ms, fleet, random).has_value());
            section("waits until little is to be read before it", [&] {
                for (auto& candidate : fleet) {
                    candidate.pending_prefill_tokens = 10'000;
                }
                CPPUNIT_ASSERT(!choose_engines(prompt, 100ms, fleet, random).has_value());
            });
        });
    }

    // A burst at a host with a tenth of its neighbours' bandwidth.
    void accounts_for_the_send_delay()
    {
        section("a prompt leaves a host with a thin link", [] {
            seeded_random random(seed);
            const auto fleet = make_fleet();
            section("twice while the link is free", [&] {
                const auto chosen = choose_engines(long_prompt, 100ms, fleet, random, {0ms, 8ms});
                CPPUNIT_ASSERT(chosen->prefill_engine.has_value());
            });
            section("once when sending it twice would take too long", [&] {
                const auto chosen = choose_engines(long_prompt, 100ms, fleet, random, {30ms, 8ms});
                CPPUNIT_ASSERT(chosen.has_value());
                CPPUNIT_ASSERT(!chosen->prefill_engine.has_value());
            });
            section("not at all when what is queued takes up the time", [&] {
                const auto chosen = choose_engines(long_prompt, 100ms, fleet, random, {90ms, 8ms});
                CPPUNIT_ASSERT(chosen.error() == placement_error::no_free_slot);
            });
            section("nor when it is too long for any engine", [&] {
                auto prompt = long_prompt;
                prompt.suffix_tokens = 90'000;
                CPPUNIT_ASSERT(choose_engines(prompt, 100ms, fleet, random, {20ms, 80ms}).has_value());
                const auto chosen = choose_engines(prompt, 100ms, fleet, random, {90ms, 80ms});
                CPPUNIT_ASSERT(chosen.error() == placement_error::no_free_slot);
            });
        });
    }

    // Sparing long outputs from prompts left no engine to read, since there was one on each.
    void isolates_long_outputs_on_few_engines()
    {
        section("streams are known to pause too long beside prompts", [] {
            seeded_random random(seed);
            auto fleet = make_fleet();
            for (auto& candidate : fleet) {
                candidate.isolate_long_outputs = true;
            }
            const auto place_long_output = [&] {
                const auto chosen = choose_engines(long_output, 100ms, fleet, random);
                ++fleet[chosen->server].peer_running;
                ++fleet[chosen->server].long_outputs;
                return chosen->server;
            };
            const auto first = place_long_output();
            section("long outputs share an engine up to a part of its slots, then the next", [&] {
                std::map<std::size_t, int> outputs_per_engine{{first, 1}};
                for (int count = 0; count < 5; ++count) {
                    ++outputs_per_engine[place_long_output()];
                }
                CPPUNIT_ASSERT_EQUAL(std::size_t{2}, outputs_per_engine.size());
                CPPUNIT_ASSERT_EQUAL(3, outputs_per_engine[first]);
                section("prompts are read on the others only", [&] {
                    for (std::uint64_t key = 1; key < 40; ++key) {
                        auto prompt = long_prompt;
                        prompt.prefix_key = key;
                        const auto chosen = choose_engines(prompt, 100ms, fleet, random);
                        CPPUNIT_ASSERT(chosen.has_value());
                        CPPUNIT_ASSERT(chosen->prefill_engine ||
                                       !outputs_per_engine.contains(chosen->server));
                    }
                });
                section("an engine that has become slow gets no more of them", [&] {
                    const auto second = outputs_per_engine.rbegin()->first == first
                                            ? outputs_per_engine.begin()->first
                                            : outputs_per_engine.rbegin()->first;
                    fleet[first].long_outputs = 1;
                    fleet[first].is_slow = true;
                    fleet[second].long_outputs = 1;
                    CPPUNIT_ASSERT_EQUAL(second, place_long_output());
                });
            });
        });
        section("one engine is all there is", [] {
            seeded_random random(seed);
            std::vector<placement_candidate> fleet{make_candidate("d", engine_role::decode, 1.0 / 375)};
            fleet.front().isolate_long_outputs = true;
            fleet.front().long_outputs = 2;
            section("it reads all the same",
                    [&] { CPPUNIT_ASSERT(choose_engines(long_prompt, 100ms, fleet, random).has_value()); });
        });
    }

    void sends_short_prompts_to_the_least_used_engine()
    {
        section("a draft comes while all engines but one are nearly full", [] {
            seeded_random random(seed);
            auto fleet = make_fleet();
            for (auto& candidate : fleet) {
                candidate.peer_running = 5;
                candidate.pending_prefill_tokens = 100'000;
            }
            fleet[4].peer_running = 2;
            const auto chosen = choose_engines(long_output, 100ms, fleet, random);
            CPPUNIT_ASSERT_EQUAL(std::size_t{4}, chosen->server);
            CPPUNIT_ASSERT(!chosen->prefill_engine.has_value());
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(placement_tests);

} // namespace

} // namespace tanager
