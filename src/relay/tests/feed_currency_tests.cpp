// Tests of how old a gateway's view of a feed may be, under the faults of the store, of the peers' messages
// and of the host itself.
#include "base/mocks/manual_clock.h"
#include "base/mocks/seeded_random.h"
#include "relay/feed_tracker.h"
#include "relay/watch_relay.h"
#include "store/mocks/watch_only_store.h"
#include "store/types/fencing_token.h"
#include "testing/section.h"

#include <cppunit/extensions/HelperMacros.h>
#include <optional>
#include <utility>

namespace tanager {

namespace {

using namespace std::chrono_literals;
using testing::section;

constexpr std::uint64_t seed = 3;
constexpr const char* prefix = "rules/";
constexpr std::chrono::milliseconds max_wait{1'000};

// Holds the last call until the test answers it.
class held_store final : public watch_only_store {
public:
    void list(const std::string& /*prefix*/, listing_callback callback) override
    {
        this->pending = std::move(callback);
    }

    void watch(const std::string& /*prefix*/,
               std::uint64_t since,
               std::chrono::milliseconds /*max_wait*/,
               listing_callback callback) override
    {
        this->last_since = since;
        this->pending = std::move(callback);
    }

    void answer(const result<object_listing>& listing)
    {
        CPPUNIT_ASSERT(this->pending);
        std::exchange(this->pending, nullptr)(listing);
    }

    listing_callback pending;
    std::uint64_t last_since = 0;
};

// A gateway that follows one feed, and has listed it at revision 10.
class follower {
public:
    follower()
    {
        this->relay.list(prefix, [](const auto& /*listing*/) {});
        this->store.answer(object_listing{0, 10, true, {}});
        this->listed_at = this->time.now();
        this->watch();
    }

    // Watches again and again, as its watcher does.
    void watch()
    {
        this->relay.watch(prefix, this->revision, max_wait, [this](const auto& listing) {
            if (listing) {
                this->revision = listing->revision;
                this->given += listing->objects.size();
            }
            this->is_waiting = false;
        });
        this->is_waiting = true;
    }

    void run(duration time_span)
    {
        for (const auto end = this->time.now() + time_span; this->time.now() < end;) {
            this->time.advance(10ms);
            this->relay.check();
        }
    }

    void hear(std::uint64_t last_change, std::uint64_t revision, std::chrono::milliseconds asked_age)
    {
        auto confirmation = this->relay.confirmations().front();
        confirmation.last_change = last_change;
        confirmation.revision = revision;
        confirmation.age = 0ms;
        confirmation.asked_age = asked_age;
        this->relay.record_confirmations({confirmation});
    }

    std::optional<duration> age() const
    {
        const auto as_of = this->relay.current_as_of(prefix);
        return as_of ? std::optional{this->time.now() - *as_of} : std::nullopt;
    }

    manual_clock time;
    seeded_random random{seed};
    held_store store;
    watch_relay relay{time, random, store};
    time_point listed_at;
    std::uint64_t revision = 10;
    std::size_t given = 0;
    bool is_waiting = false;
};

class feed_currency_tests : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(feed_currency_tests);
    CPPUNIT_TEST(counts_from_the_time_of_asking);
    CPPUNIT_TEST(takes_confirmations_of_peers_by_their_source);
    CPPUNIT_TEST(counts_only_what_the_watcher_was_given);
    CPPUNIT_TEST(survives_standstills);
    CPPUNIT_TEST(waits_for_writes_that_a_copy_lacks);
    CPPUNIT_TEST(counts_no_changes_that_a_list_took_back);
    CPPUNIT_TEST(shows_how_far_a_feed_is_behind);
    CPPUNIT_TEST_SUITE_END();

public:
    void counts_from_the_time_of_asking()
    {
        section("nothing is known before the first answer", [] {
            manual_clock time;
            seeded_random random{seed};
            held_store store;
            watch_relay relay{time, random, store};
            CPPUNIT_ASSERT(!relay.current_as_of(prefix));
            relay.list(prefix, [](const auto& /*listing*/) {});
            CPPUNIT_ASSERT(!relay.current_as_of(prefix));
            section("a late answer is as old as its question", [&] {
                time.advance(700ms);
                store.answer(object_listing{0, 10, true, {}});
                CPPUNIT_ASSERT(time.now() - *relay.current_as_of(prefix) == 700ms);
            });
        });
        section("a watch that waits proves nothing", [] {
            follower gateway;
            gateway.run(900ms);
            CPPUNIT_ASSERT(gateway.age() == 900ms);
            section("its answer proves what was so when it was asked", [&] {
                gateway.store.answer(object_listing{10, 12, false, {}});
                CPPUNIT_ASSERT(gateway.age() == 900ms);
                gateway.watch();
                gateway.run(300ms);
                gateway.store.answer(object_listing{12, 12, false, {}});
                CPPUNIT_ASSERT(gateway.age() == 300ms);
            });
        });
        section("the store is away: the view grows old, and failures prove nothing", [] {
            follower gateway;
            for (int count = 0; count < 8; ++count) {
                gateway.run(500ms);
                if (gateway.store.pending) {
                    gateway.store.answer(fail(result_code::store_unavailable, "away"));
                }
                if (!gateway.is_waiting) {
                    gateway.watch();
                }
            }
            CPPUNIT_ASSERT(gateway.age() == 4s);
            section("the first answer after that makes it young", [&] {
                while (!gateway.store.pending) {
                    gateway.run(10ms);
                }
                gateway.run(10ms);
                gateway.store.answer(object_listing{10, 10, false, {}});
                CPPUNIT_ASSERT(*gateway.age() <= 510ms);
            });
        });
        section("the time of day is set back and forth, which changes nothing", [] {
            follower gateway;
            gateway.run(900ms);
            CPPUNIT_ASSERT(gateway.age() == 900ms); // only the steady clock is read
        });
    }

    void takes_confirmations_of_peers_by_their_source()
    {
        section("a peer's confirmation is as old as the peer's question", [] {
            follower gateway;
            gateway.run(3s);
            gateway.hear(10, 15, 1'200ms);
            CPPUNIT_ASSERT(gateway.age() == 1'200ms);
            section("an older one that arrives later changes nothing", [&] {
                gateway.hear(10, 12, 2s);
                CPPUNIT_ASSERT(gateway.age() == 1'200ms);
            });
            section("one with a change that is not known here does not confirm", [&] {
                gateway.hear(17, 18, 0ms);
                CPPUNIT_ASSERT(gateway.age() == 1'200ms);
            });
        });
        section("what this gateway tells its peers is as old as its own question", [] {
            follower gateway;
            gateway.run(800ms);
            gateway.store.answer(object_listing{10, 12, false, {}});
            gateway.run(100ms);
            CPPUNIT_ASSERT(gateway.relay.confirmations().front().age == 100ms);
            CPPUNIT_ASSERT(gateway.relay.confirmations().front().asked_age == 900ms);
            section("and not as what a peer has confirmed to it", [&] {
                gateway.hear(10, 15, 50ms);
                CPPUNIT_ASSERT(gateway.age() == 50ms);
                CPPUNIT_ASSERT(gateway.relay.confirmations().front().asked_age == 900ms);
            });
        });
    }

    void counts_only_what_the_watcher_was_given()
    {
        section("a peer passes a change on while the watcher applies an earlier one", [] {
            follower gateway;
            gateway.run(400ms);
            gateway.store.answer(object_listing{10, 11, false, {{"rules/a", 11, false, "1"}}});
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, gateway.given);
            gateway.run(100ms);
            gateway.relay.record_changes(
                {"peer", prefix, {11, 12, false, {{"rules/b", 12, false, "1"}}}, false});
            gateway.hear(12, 12, 10ms);
            section("a confirmation of the new state does not vouch for the old one",
                    [&] { CPPUNIT_ASSERT(gateway.age() == 500ms); });
            section("it does as soon as the watcher has been given the change", [&] {
                gateway.watch();
                gateway.relay.check();
                CPPUNIT_ASSERT_EQUAL(std::size_t{2}, gateway.given);
                CPPUNIT_ASSERT(gateway.age() == 10ms);
            });
        });
    }

    void survives_standstills()
    {
        section("a gateway is suspended while its peers' messages pile up", [] {
            follower gateway;
            gateway.relay.record_idle_channel();
            gateway.run(100ms);
            gateway.time.advance(20s);
            section("one that is read afterwards may have been sent at any time since", [&] {
                gateway.hear(10, 15, 10ms);
                CPPUNIT_ASSERT(*gateway.age() >= 20s);
            });
            section("one that was sent after all had been read is young", [&] {
                gateway.relay.record_idle_channel();
                gateway.hear(10, 16, 10ms);
                CPPUNIT_ASSERT(gateway.age() == 10ms);
            });
        });
    }

    // Guards against a gateway that is behind for many seconds while its log only says that the store does
    // not answer.
    void shows_how_far_a_feed_is_behind()
    {
        follower gateway;
        const auto status = [&] {
            return gateway.relay.feed_statuses().front();
        };
        section("nothing has changed for a while", [&] {
            gateway.run(900ms);
            CPPUNIT_ASSERT((status() == watch_relay::feed_status{prefix, 900ms, 0ms, 0}));
        });
        section("a peer confirms changes that have not come here", [&] {
            gateway.hear(17, 18, 0ms);
            gateway.run(1'500ms);
            CPPUNIT_ASSERT((status() == watch_relay::feed_status{prefix, 2'400ms, 1'500ms, 8}));
        });
        section("the store answers with them", [&] {
            gateway.store.answer(object_listing{10, 18, false, {{"rules/a", 17, false, "1"}}});
            CPPUNIT_ASSERT((status() == watch_relay::feed_status{prefix, 0ms, 0ms, 0}));
        });
    }

    void waits_for_writes_that_a_copy_lacks()
    {
        manual_clock time;
        section("the store comes back in era 1, from a copy without the latest writes", [&] {
            feed_tracker tracker{time};
            tracker.record_snapshot(10, time.now());
            const auto proven_at = time.now();
            time.advance(1s);
            tracker.record_confirmation({0, fencing_token(1, 9), fencing_token(1, 9), 0ms, 0ms});
            time.advance(500ms);
            tracker.record_snapshot(fencing_token(1, 9), time.now());
            section("its list proves nothing", [&] { CPPUNIT_ASSERT(tracker.current_as_of() == proven_at); });
            time.advance(2'490ms); // 2.99 s after the era was first heard of
            section("nor do answers and confirmations to early questions, whenever they arrive", [&] {
                const auto asked_at = time.now();
                tracker.record_store_changes({fencing_token(1, 9), fencing_token(1, 9), false, {}}, asked_at);
                tracker.record_confirmation({0, fencing_token(1, 9), fencing_token(1, 9), 0ms, 0ms});
                time.advance(1s);
                tracker.record_store_changes({fencing_token(1, 9), fencing_token(1, 9), false, {}}, asked_at);
                tracker.record_confirmation({0, fencing_token(1, 9), fencing_token(1, 9), 0ms, 1s});
                tracker.take_new_changes(fencing_token(1, 9));
                CPPUNIT_ASSERT(tracker.current_as_of() == proven_at);
            });
            section("a peer's later question does", [&] {
                tracker.record_confirmation({0, fencing_token(1, 9), fencing_token(1, 9), 0ms, 990ms});
                CPPUNIT_ASSERT(tracker.current_as_of() == time.now() - 990ms);
            });
            section("so does this gateway's", [&] {
                tracker.record_store_changes({fencing_token(1, 9), fencing_token(1, 9), false, {}},
                                             time.now());
                CPPUNIT_ASSERT(tracker.current_as_of() == time.now());
            });
            section("the next era waits as long", [&] {
                const auto proven_in_era_1 = time.now();
                time.advance(10s);
                tracker.record_snapshot(fencing_token(2, 8), time.now());
                CPPUNIT_ASSERT(tracker.current_as_of() == proven_in_era_1);
                time.advance(3s);
                tracker.record_snapshot(fencing_token(2, 8), time.now());
                CPPUNIT_ASSERT(tracker.current_as_of() == time.now());
            });
        });
        section("a process that starts in era 2 cannot know how new it is, and does not wait", [&] {
            feed_tracker tracker{time};
            tracker.record_confirmation({0, fencing_token(2, 8), fencing_token(2, 8), 0ms, 0ms});
            tracker.record_snapshot(fencing_token(2, 8), time.now());
            CPPUNIT_ASSERT(tracker.current_as_of() == time.now());
        });
    }

    void counts_no_changes_that_a_list_took_back()
    {
        for (const auto listed : {std::uint64_t{10}, fencing_token(1, 9)}) {
            manual_clock time;
            feed_tracker tracker{time};
            tracker.record_snapshot(10, time.now());
            const auto proven_at = time.now();
            time.advance(100ms);
            const auto asked_at = time.now();
            section("a change is passed on and confirmed, but not given to the watcher", [&] {
                time.advance(100ms);
                tracker.record_peer_changes({10, 12, false, {{"rules/a", 12, false, "1"}}});
                tracker.record_confirmation({0, 12, 12, 0ms, 0ms});
                CPPUNIT_ASSERT(tracker.current_as_of() == proven_at);
            });
            section("a list without it arrives", [&] {
                tracker.record_snapshot(listed, asked_at);
                tracker.take_new_changes(listed);
                CPPUNIT_ASSERT(*tracker.current_as_of() <= asked_at);
            });
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(feed_currency_tests);

} // namespace

} // namespace tanager
