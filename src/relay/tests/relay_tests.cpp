#include "relay/mocks/simulated_site.h"
#include "store/types/fencing_token.h"
#include "testing/section.h"

#include <cppunit/extensions/HelperMacros.h>
#include <functional>
#include <pthread.h>
#include <random>
#include <set>

namespace tanager {

namespace {

using namespace std::chrono_literals;
using testing::section;

constexpr std::size_t max_message_bytes = 8'000;

object_listing changes(std::uint64_t since, std::uint64_t revision, std::vector<stored_object> objects)
{
    return {since, revision, false, std::move(objects)};
}

// Gateways that exchange their messages over a network with delays and losses.
class simulated_network {
public:
    simulated_network(std::size_t gateway_count, std::size_t data_centre_count, std::uint64_t seed)
        : random(seed)
    {
        for (std::size_t index = 0; index < gateway_count; ++index) {
            this->hosts.push_back({"gateway-" + std::to_string(index),
                                   "data-centre-" + std::to_string(index % data_centre_count),
                                   {},
                                   {},
                                   {},
                                   {}});
            this->start(index);
        }
    }

    struct host {
        std::string name;
        std::string data_centre;
        std::unique_ptr<simulated_gateway> gateway;
        time_point frozen_until;
        time_point isolated_until;
        time_point disturbed_until; // of faults on the host itself or on its way to the store
    };

    void start(std::size_t index)
    {
        auto& started = this->hosts[index];
        started.gateway = std::make_unique<simulated_gateway>(
            this->time, this->history, started.name, started.data_centre, this->random());
    }

    void step()
    {
        constexpr auto step_time = 10ms;
        constexpr int steps_per_report = 20;
        this->time.advance(step_time);
        ++this->steps;
        for (std::size_t index = 0; index < this->hosts.size(); ++index) {
            auto& sender = this->hosts[index];
            if (this->is_frozen(sender)) {
                continue;
            }
            sender.gateway->step();
            for (const auto& relayed : std::exchange(sender.gateway->outbox, {})) {
                this->send({index, 0, {}, encode_changes(relayed, max_message_bytes), {}, false});
            }
            if ((this->steps + static_cast<int>(index)) % steps_per_report == 0) {
                const auto& relay = sender.gateway->relay;
                this->send({index, 0, {}, {}, relay.confirmations(), relay.is_store_failing()});
            }
        }
        this->deliver_messages();
    }

    void run(duration span)
    {
        const auto until = this->time.now() + span;
        while (this->time.now() < until) {
            this->step();
        }
    }

    bool is_frozen(const host& tested) const
    {
        return this->time.now() < tested.frozen_until;
    }

    int total_calls() const
    {
        int total = 0;
        for (const auto& each : this->hosts) {
            total += each.gateway->store.call_count;
        }
        return total;
    }

    std::size_t elected_count() const
    {
        return static_cast<std::size_t>(
            std::ranges::count_if(this->hosts, [](const auto& each) { return each.gateway->is_elected(); }));
    }

    manual_clock time;
    simulated_history history;
    std::vector<host> hosts;
    std::mt19937_64 random;
    unsigned loss_percent = 0;

private:
    struct message {
        std::size_t from = 0;
        std::size_t to = 0;
        time_point due_at;
        std::string datagram; // with changes; empty for a load report
        std::vector<feed_confirmation> confirmations;
        bool is_store_failing = false;
    };

    void send(message sent)
    {
        constexpr unsigned percent = 100;
        constexpr unsigned duplicate_percent = 5;
        constexpr int max_delay_ms = 100;
        for (std::size_t to = 0; to < this->hosts.size(); ++to) {
            const bool is_nearby = this->hosts[to].data_centre == this->hosts[sent.from].data_centre;
            if (to == sent.from || (!sent.datagram.empty() && !is_nearby)) {
                continue;
            }
            const bool is_lost = this->random() % percent < this->loss_percent;
            const bool is_duplicated = this->random() % percent < duplicate_percent;
            const int copies = is_lost ? 0 : 1 + (is_duplicated ? 1 : 0);
            sent.to = to;
            for (int copy = 0; copy < copies; ++copy) {
                const std::chrono::milliseconds delay{static_cast<int>(this->random() % max_delay_ms)};
                sent.due_at = this->time.now() + delay;
                this->messages.push_back(sent);
            }
        }
    }

    void deliver_messages()
    {
        const auto now = this->time.now();
        for (auto& sent : std::exchange(this->messages, {})) {
            auto& receiver = this->hosts[sent.to];
            auto& sender = this->hosts[sent.from];
            if (sent.due_at > now || this->is_frozen(receiver)) {
                this->messages.push_back(std::move(sent));
                continue;
            }
            if (now < receiver.isolated_until || now < sender.isolated_until) {
                continue;
            }
            if (!sent.datagram.empty()) {
                receiver.gateway->relay.record_changes(*decode_changes(sent.datagram));
                continue;
            }
            if (sender.data_centre == receiver.data_centre && !sent.is_store_failing) {
                receiver.gateway->nearby_reports[sender.name] = now;
            } else {
                receiver.gateway->nearby_reports.erase(sender.name);
            }
            receiver.gateway->relay.record_confirmations(sent.confirmations);
        }
    }

    int steps = 0;
    std::vector<message> messages;
};

void run_on_small_stack(std::function<void()> work)
{
    constexpr std::size_t stack_bytes = std::size_t{256} * 1024;
    pthread_attr_t attributes{};
    pthread_attr_init(&attributes);
    pthread_attr_setstacksize(&attributes, stack_bytes);
    const auto run = [](void* argument) -> void* {
        (*static_cast<std::function<void()>*>(argument))();
        return nullptr;
    };
    pthread_t thread{};
    CPPUNIT_ASSERT_EQUAL(0, pthread_create(&thread, &attributes, run, &work));
    pthread_join(thread, nullptr);
    pthread_attr_destroy(&attributes);
}

class relay_tests : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(relay_tests);
    CPPUNIT_TEST(takes_changes_that_continue_what_is_known);
    CPPUNIT_TEST(takes_confirmations_by_their_age);
    CPPUNIT_TEST(takes_nothing_across_eras);
    CPPUNIT_TEST(lists_again_when_the_store_comes_back_from_a_copy);
    CPPUNIT_TEST(leaves_an_era_that_peers_know_to_be_over);
    CPPUNIT_TEST(calls_the_store_once_a_data_centre);
    CPPUNIT_TEST(reads_large_changes_from_the_store);
    CPPUNIT_TEST(serves_a_gateway_that_the_store_rejects);
    CPPUNIT_TEST(follows_the_store_under_random_faults);
    CPPUNIT_TEST(follows_a_store_that_comes_back_from_copies_under_random_faults);
    CPPUNIT_TEST(decodes_arbitrary_datagrams_safely);
    CPPUNIT_TEST_SUITE_END();

public:
    void takes_changes_that_continue_what_is_known()
    {
        section("everything up to revision 10 is known", [] {
            manual_clock time;
            feed_tracker tracker(time);
            tracker.record_snapshot(10);
            section("changes after it are new", [&] {
                CPPUNIT_ASSERT(tracker.record_peer_changes(changes(10, 12, {{"a", 11, false, "1"}})));
                CPPUNIT_ASSERT(tracker.take_new_changes(10) == changes(10, 12, {{"a", 11, false, "1"}}));
            });
            section("the same changes from another peer are not", [&] {
                CPPUNIT_ASSERT(!tracker.record_peer_changes(changes(9, 11, {{"a", 11, false, "1"}})));
                CPPUNIT_ASSERT(!tracker.has_new_changes());
            });
            section("of changes that overlap, only the newer ones are taken", [&] {
                CPPUNIT_ASSERT(tracker.record_peer_changes(
                    changes(10, 14, {{"a", 11, false, "1"}, {"a", 14, false, "2"}})));
                CPPUNIT_ASSERT(tracker.take_new_changes(12) == changes(12, 14, {{"a", 14, false, "2"}}));
            });
            section("an overlapping deletion of unknown revision is not taken", [&] {
                CPPUNIT_ASSERT(!tracker.record_peer_changes(changes(13, 16, {{"a", 0, true, ""}})));
                CPPUNIT_ASSERT_EQUAL(std::uint64_t{14}, tracker.known_revision());
            });
            section("a deletion that follows directly is, with the revision of the whole range", [&] {
                CPPUNIT_ASSERT(tracker.record_peer_changes(changes(14, 16, {{"a", 0, true, ""}})));
                tracker.record_store_changes(changes(16, 20, {}));
                CPPUNIT_ASSERT_EQUAL(std::uint64_t{16}, tracker.own_confirmation()->last_change);
                tracker.take_new_changes(14);
            });
            section("changes behind a gap are not taken, and are missing after a grace time", [&] {
                CPPUNIT_ASSERT(!tracker.record_peer_changes(changes(22, 24, {{"a", 24, false, "3"}})));
                CPPUNIT_ASSERT(!tracker.is_missing_changes());
                time.advance(400ms);
                CPPUNIT_ASSERT(tracker.is_missing_changes());
                CPPUNIT_ASSERT(tracker.record_peer_changes(
                    changes(20, 24, {{"b", 21, false, "1"}, {"a", 24, false, "3"}})));
                CPPUNIT_ASSERT(!tracker.is_missing_changes());
            });
        });
    }

    void takes_confirmations_by_their_age()
    {
        section("everything up to revision 10 is known for three seconds", [] {
            manual_clock time;
            feed_tracker tracker(time);
            tracker.record_snapshot(10);
            time.advance(3s);
            section("a confirmation that is half a second old makes it half a second old", [&] {
                tracker.record_confirmation({0, 8, 15, 500ms});
                CPPUNIT_ASSERT(tracker.confirmation_age() == 500ms);
                CPPUNIT_ASSERT_EQUAL(std::uint64_t{15}, tracker.known_revision());
            });
            section("an older one that arrives later changes nothing", [&] {
                tracker.record_confirmation({0, 8, 12, 2s});
                CPPUNIT_ASSERT(tracker.confirmation_age() == 500ms);
                CPPUNIT_ASSERT_EQUAL(std::uint64_t{15}, tracker.known_revision());
            });
            section("one with a later change does not confirm, and reveals what is missing", [&] {
                tracker.record_confirmation({0, 18, 19, 0ms});
                CPPUNIT_ASSERT(tracker.confirmation_age() == 500ms);
                time.advance(400ms);
                CPPUNIT_ASSERT(tracker.is_missing_changes());
            });
        });
    }

    void takes_nothing_across_eras()
    {
        section("everything up to revision 120 of era 1 is known for three seconds", [] {
            manual_clock time;
            feed_tracker tracker(time);
            tracker.record_snapshot(fencing_token(1, 120));
            time.advance(3s);
            section("a confirmation of era 2 is no proof, though its revision is lower", [&] {
                tracker.record_confirmation({0, fencing_token(2, 90), fencing_token(2, 100), 0ms});
                CPPUNIT_ASSERT(tracker.confirmation_age() == 3s);
                CPPUNIT_ASSERT(tracker.is_in_earlier_era());
                CPPUNIT_ASSERT_EQUAL(fencing_token(1, 120), tracker.known_revision());
            });
            section("nor is one that claims to reach from era 1 into era 2", [&] {
                tracker.record_confirmation({0, fencing_token(1, 120), fencing_token(2, 100), 0ms});
                CPPUNIT_ASSERT(tracker.confirmation_age() == 3s);
                CPPUNIT_ASSERT_EQUAL(fencing_token(1, 120), tracker.known_revision());
            });
            section("neither are changes of era 2, wherever they begin", [&] {
                for (const auto since : {fencing_token(2, 90), fencing_token(1, 120)}) {
                    CPPUNIT_ASSERT(!tracker.record_peer_changes(
                        changes(since, fencing_token(2, 101), {{"a", fencing_token(2, 101), false, "1"}})));
                }
                CPPUNIT_ASSERT(!tracker.has_new_changes());
            });
            section("a list of era 1 does not end the search for era 2", [&] {
                tracker.record_snapshot(fencing_token(1, 121));
                CPPUNIT_ASSERT(tracker.is_in_earlier_era());
            });
            section("a list of era 2 is taken, though its revision goes back", [&] {
                tracker.record_snapshot(fencing_token(2, 101));
                CPPUNIT_ASSERT(!tracker.is_in_earlier_era());
                CPPUNIT_ASSERT_EQUAL(fencing_token(2, 101), tracker.known_revision());
            });
            section("what a peer or the store says of era 1 neither confirms it nor takes it back", [&] {
                time.advance(2s);
                tracker.record_confirmation({0, fencing_token(1, 120), fencing_token(1, 140), 0ms});
                tracker.record_store_changes(changes(fencing_token(1, 120), fencing_token(1, 140), {}));
                CPPUNIT_ASSERT(
                    !tracker.record_peer_changes(changes(fencing_token(1, 120),
                                                         fencing_token(1, 140),
                                                         {{"a", fencing_token(1, 140), false, "1"}})));
                CPPUNIT_ASSERT(tracker.confirmation_age() == 2s);
                CPPUNIT_ASSERT_EQUAL(fencing_token(2, 101), tracker.known_revision());
                CPPUNIT_ASSERT(!tracker.has_new_changes());
            });
            section("era 2 goes on as usual", [&] {
                CPPUNIT_ASSERT(
                    tracker.record_peer_changes(changes(fencing_token(2, 101),
                                                        fencing_token(2, 103),
                                                        {{"a", fencing_token(2, 103), false, "2"}})));
                tracker.record_confirmation({0, fencing_token(2, 103), fencing_token(2, 110), 0ms});
                CPPUNIT_ASSERT(tracker.confirmation_age() == 0s);
            });
        });
    }

    // Load pattern: gateways of which most rely on a few, and a store that gives the revisions of the last
    // seconds out again, for other changes.
    void lists_again_when_the_store_comes_back_from_a_copy()
    {
        section("twelve gateways know five changes", [] {
            simulated_network network(12, 2, 6);
            network.run(5s);
            for (int change = 1; change <= 5; ++change) {
                network.history.change("object-" + std::to_string(change), "first");
            }
            network.run(1s);
            section("the store loses the last three, and one gateway cannot reach it", [&] {
                auto& cut_off = network.hosts.front();
                cut_off.gateway->store.is_rejecting = true;
                network.history.restore(network.history.revision - 3);
                network.history.change("object-1", "second");
                network.run(4s);
                section("all others have the new state, within the wait of one watch", [&] {
                    for (const auto& each : network.hosts) {
                        CPPUNIT_ASSERT(!each.gateway->has_gone_back);
                        CPPUNIT_ASSERT_EQUAL(&each == &cut_off, each.gateway->values.contains("object-4"));
                    }
                });
                section("the one that is cut off follows as soon as the store answers it", [&] {
                    cut_off.gateway->store.is_rejecting = false;
                    network.run(2s);
                    CPPUNIT_ASSERT(cut_off.gateway->values ==
                                   network.history.values_at(network.history.revision));
                });
            });
            section("another data centre hears of the era, and lists spread over a second", [&] {
                const auto calls_before = network.total_calls();
                network.run(10s);
                CPPUNIT_ASSERT(network.total_calls() - calls_before <= 4 * 8);
                for (const auto& each : network.hosts) {
                    CPPUNIT_ASSERT(each.gateway->values ==
                                   network.history.values_at(network.history.revision));
                }
            });
        });
    }

    // The store may hold a watch from a revision that it has given out again, and call that an answer.
    void leaves_an_era_that_peers_know_to_be_over()
    {
        section("a gateway waits for an answer of the store", [] {
            manual_clock time;
            simulated_history history;
            simulated_gateway gateway(time, history, "gateway", "here", 7);
            const auto run = [&](duration span) {
                for (const auto until = time.now() + span; time.now() < until; time.advance(10ms)) {
                    gateway.step();
                }
            };
            run(100ms);
            CPPUNIT_ASSERT(gateway.has_listed);
            gateway.store.is_silent = true;
            run(100ms);
            section("a peer confirms a later era, and it lists again within a second", [&] {
                auto confirmation = gateway.relay.confirmations().front();
                confirmation.last_change = confirmation.revision = fencing_token(1, 1);
                gateway.relay.record_confirmations({confirmation});
                run(1'050ms);
                CPPUNIT_ASSERT(!gateway.has_listed);
            });
            section("while the store goes on in the earlier era, it lists ever more rarely", [&] {
                gateway.store.is_silent = false;
                const auto calls_before = gateway.store.call_count;
                run(60s);
                CPPUNIT_ASSERT(gateway.store.call_count - calls_before <= 60);
            });
            section("once the store answers in the later era, nothing remains of it", [&] {
                history.restore(history.revision);
                run(3s);
                CPPUNIT_ASSERT(gateway.has_listed);
                CPPUNIT_ASSERT_EQUAL(history.revision, gateway.revision);
            });
        });
    }

    // Load pattern: 100 gateways in five data centres, which changes reach within seconds of each other and
    // which mostly wait.
    void calls_the_store_once_a_data_centre()
    {
        section("a hundred gateways in five data centres have found each other", [] {
            constexpr std::size_t gateways = 100;
            constexpr std::size_t data_centres = 5;
            simulated_network network(gateways, data_centres, 1);
            network.run(5s);
            CPPUNIT_ASSERT_EQUAL(2 * data_centres, network.elected_count());
            section("a minute without changes costs the calls of two gateways a data centre", [&] {
                const auto calls_before = network.total_calls();
                network.run(60s);
                const auto max_calls_per_watcher =
                    static_cast<int>(60s / (simulated_gateway::watch_wait * 0.7)) + 1;
                CPPUNIT_ASSERT(network.total_calls() - calls_before <=
                               static_cast<int>(2 * data_centres) * max_calls_per_watcher);
            });
            section("a change reaches all gateways within a quarter of a second, without further calls", [&] {
                const auto calls_before = network.total_calls();
                network.history.change("server", "draining");
                network.run(250ms);
                for (const auto& each : network.hosts) {
                    CPPUNIT_ASSERT(each.gateway->values == (object_values{{"server", "draining"}}));
                }
                CPPUNIT_ASSERT(network.total_calls() - calls_before <= static_cast<int>(4 * data_centres));
            });
        });
    }

    void reads_large_changes_from_the_store()
    {
        section("a configuration grows beyond the size of a message", [] {
            simulated_network network(12, 2, 2);
            network.run(5s);
            const std::string large(2 * max_message_bytes, 'x');
            network.history.change("configuration", large);
            section("every gateway has it within the time that a lost change may take", [&] {
                network.run(500ms);
                for (const auto& each : network.hosts) {
                    CPPUNIT_ASSERT(each.gateway->values == (object_values{{"configuration", large}}));
                }
            });
        });
    }

    void serves_a_gateway_that_the_store_rejects()
    {
        section("the store rejects the calls of every gateway of a data centre but one", [] {
            simulated_network network(9, 3, 3);
            network.run(5s);
            auto is_first = true;
            for (auto& each : network.hosts) {
                const bool is_cut = each.data_centre == "data-centre-1" && !std::exchange(is_first, false);
                each.gateway->store.is_rejecting = is_cut;
            }
            network.run(4s);
            network.history.change("server", "new");
            network.run(1s);
            section("they all learn of the next change", [&] {
                for (const auto& each : network.hosts) {
                    CPPUNIT_ASSERT(each.gateway->values == (object_values{{"server", "new"}}));
                }
            });
        });
    }

    // Guards against relayed state that is older than what is in force, that has gaps, or that is believed
    // for longer than a gateway without a relay believes a dead connection.
    void follows_the_store_under_random_faults()
    {
        constexpr std::uint64_t seeds = 8;
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            section("seed " + std::to_string(seed), [&] { this->play_faults(seed); });
        }
    }

    // The same, while the store comes back from copies that lack the changes of the last seconds.
    void follows_a_store_that_comes_back_from_copies_under_random_faults()
    {
        constexpr std::uint64_t seeds = 8;
        for (std::uint64_t seed = 101; seed <= 100 + seeds; ++seed) {
            section("seed " + std::to_string(seed), [&] { this->play_faults(seed, true); });
        }
    }

    void decodes_arbitrary_datagrams_safely()
    {
        section("decoded changes equal the encoded ones", [] {
            const relayed_changes sent{"peer", "feed/", changes(3, 9, {{"feed/a", 7, false, "{}"}}), false};
            const auto datagram = encode_changes(sent, max_message_bytes);
            CPPUNIT_ASSERT(decode_changes(datagram) == sent);
            section("every truncated datagram is rejected", [&] {
                for (std::size_t length = 0; length < datagram.size(); ++length) {
                    CPPUNIT_ASSERT(!decode_changes(datagram.substr(0, length)));
                }
            });
            section("a datagram with a changed byte does not crash the decoder", [&] {
                for (std::size_t position = 0; position < datagram.size(); ++position) {
                    for (int value = 0; value < 256; ++value) { // NOLINT(*-magic-numbers)
                        auto changed = datagram;
                        changed[position] = static_cast<char>(value);
                        static_cast<void>(decode_changes(changed));
                    }
                }
            });
            // Guards against a decoder that calls itself for each level: a datagram holds 65,000 of them.
            section("deeply nested values do not exhaust a stack of 256 KB", [&] {
                for (const char opening : {'\x91', '\x81', '\xdc', '[', '{'}) {
                    for (const auto* const innermost : {"", "\x01"}) {
                        run_on_small_stack([&] {
                            CPPUNIT_ASSERT(!decode_changes(std::string(65'000, opening) + innermost));
                        });
                    }
                }
            });
            section("changes that exceed the size of a message are marked as omitted", [&] {
                const auto decoded = decode_changes(encode_changes(sent, 20));
                CPPUNIT_ASSERT(decoded && decoded->is_omitted && decoded->changes.objects.empty());
                CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, decoded->changes.revision);
            });
        });
    }

private:
    // A gateway that watches by itself misses a change for at most the wait of a watch and its timeout.
    static constexpr auto max_staleness = simulated_gateway::watch_wait + 500ms;
    // A call that a fault has swallowed is given up, and its successor gets a response.
    static constexpr auto fault_aftermath = 2 * max_staleness;

    struct fault_plan {
        time_point outage_until;
        time_point lossy_until;
    };

    static void inject_fault(simulated_network& network, fault_plan& plan)
    {
        constexpr int kinds = 8;
        const auto now = network.time.now();
        const std::chrono::milliseconds span{500 + static_cast<int>(network.random() % 4'000)};
        const auto index = network.random() % network.hosts.size();
        auto& chosen = network.hosts[index];
        switch (network.random() % kinds) {
        case 0:
            chosen.gateway->store.is_silent = true;
            chosen.disturbed_until = std::max(chosen.disturbed_until, now + span);
            break;
        case 1:
            chosen.gateway->store.is_rejecting = true;
            chosen.disturbed_until = std::max(chosen.disturbed_until, now + span);
            break;
        case 2:
            chosen.frozen_until = now + span;
            chosen.disturbed_until = std::max(chosen.disturbed_until, now + span);
            break;
        case 3:
            chosen.isolated_until = now + span;
            break;
        case 4:
            network.start(index);
            chosen.disturbed_until = std::max(chosen.disturbed_until, now);
            break;
        case 5:
            plan.outage_until = now + span;
            break;
        case 6:
            plan.lossy_until = now + span;
            break;
        default:
            network.history.compact();
        }
    }

    static void change_something(simulated_network& network)
    {
        constexpr int names = 6;
        const auto name = "object-" + std::to_string(network.random() % names);
        switch (network.random() % 4) {
        case 0:
            network.history.change_elsewhere();
            break;
        case 1:
            network.history.change(name, {});
            break;
        default:
            network.history.change(name, std::to_string(network.random()));
        }
    }

    void play_faults(std::uint64_t seed, bool restores_store = false)
    {
        constexpr int steps = 6'000;
        constexpr int steps_per_fault = 120;
        constexpr int steps_per_change = 35;
        constexpr int steps_per_restore = 900;
        simulated_network network(13, 3, seed);
        fault_plan plan;
        std::map<std::uint64_t, time_point> changed_at; // by revision
        for (int step = 0; step < steps; ++step) {
            if (network.random() % steps_per_fault == 0) {
                inject_fault(network, plan);
            }
            if (network.random() % steps_per_change == 0) {
                change_something(network);
                changed_at[network.history.revision] = network.time.now();
            }
            if (restores_store && network.random() % steps_per_restore == 0) {
                const auto lost_writes = network.random() % 10;
                const auto written = revision_of(network.history.revision);
                network.history.restore(network.history.revision - std::min(lost_writes, written - 1));
                changed_at[network.history.revision] = network.time.now();
            }
            const auto now = network.time.now();
            network.loss_percent = now < plan.lossy_until ? 40 : 1;
            for (auto& each : network.hosts) {
                auto& store = each.gateway->store;
                const bool is_over = now >= each.disturbed_until;
                store.is_silent =
                    (store.is_silent && !is_over && now >= plan.outage_until) || now < plan.outage_until;
                store.is_rejecting = store.is_rejecting && !is_over;
                if (now < plan.outage_until) {
                    each.disturbed_until = std::max(each.disturbed_until, plan.outage_until);
                }
            }
            network.step();
            this->check_gateways(network, changed_at);
        }
    }

    static void check_gateways(const simulated_network& network,
                               const std::map<std::uint64_t, time_point>& changed_at)
    {
        const auto now = network.time.now();
        for (const auto& each : network.hosts) {
            const auto& gateway = *each.gateway;
            CPPUNIT_ASSERT(!gateway.has_gone_back);
            if (!gateway.has_listed) {
                continue;
            }
            CPPUNIT_ASSERT(gateway.values == network.history.values_at(gateway.revision));
            const bool is_calm =
                now >= each.disturbed_until + fault_aftermath && now >= gateway.started_at + fault_aftermath;
            const auto latest = std::ranges::find_if(
                changed_at, [&](const auto& change) { return now - change.second <= max_staleness; });
            if (!is_calm || latest == changed_at.begin()) {
                continue;
            }
            const auto due_revision = std::prev(latest)->first;
            const bool has_all_values = gateway.values == network.history.values_at(network.history.revision);
            CPPUNIT_ASSERT_MESSAGE(each.name + " misses changes up to " + std::to_string(due_revision),
                                   gateway.revision >= due_revision || has_all_values ||
                                       gateway.values == network.history.values_at(due_revision));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(relay_tests);

} // namespace

} // namespace tanager
