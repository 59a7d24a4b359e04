// Tests of the calls that one gateway makes while the store does not answer. Guards against retries that
// multiply with the kinds of objects that a gateway follows, and against a gateway that starts late because
// each kind waits for a retry of its own.
#include "base/mocks/manual_clock.h"
#include "base/mocks/seeded_random.h"
#include "relay/watch_relay.h"
#include "store/mocks/watch_only_store.h"
#include "testing/section.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace tanager {

namespace {

using namespace std::chrono_literals;
using testing::section;

constexpr std::uint64_t seed = 5;
constexpr std::chrono::milliseconds long_wait{10'000};

// Answers calls in the next step, and watches after their wait.
class outage_store final : public watch_only_store {
public:
    explicit outage_store(const clock& time) : time(time) {}

    void list(const std::string& prefix, listing_callback callback) override
    {
        this->begin(prefix, 0ms, {0, revision, true, {}}, std::move(callback));
    }

    void watch(const std::string& prefix,
               std::uint64_t since,
               std::chrono::milliseconds max_wait,
               listing_callback callback) override
    {
        this->begin(prefix, max_wait, {since, revision, false, {}}, std::move(callback));
    }

    void step()
    {
        for (auto& call : std::exchange(this->calls, {})) {
            const bool is_failing = this->failing.contains(call.prefix);
            if (this->is_down || (is_failing && this->time.now() >= call.began_at + this->failure_time)) {
                call.callback(fail(result_code::store_unavailable, "down"));
            } else if (!is_failing && this->time.now() >= call.ends_at) {
                this->answered_at[call.prefix] = this->time.now();
                call.callback(call.listing);
            } else {
                this->calls.push_back(std::move(call));
            }
        }
    }

    bool is_down = false;
    std::set<std::string> failing;             // prefixes whose calls fail although the store answers others
    std::chrono::milliseconds failure_time{0}; // until they do
    int call_count = 0;
    std::map<std::string, time_point> answered_at; // the last call of a prefix

private:
    struct pending_call {
        std::string prefix;
        time_point began_at;
        time_point ends_at;
        object_listing listing;
        listing_callback callback;
    };

    void begin(const std::string& prefix,
               std::chrono::milliseconds wait,
               object_listing listing,
               listing_callback callback)
    {
        ++this->call_count;
        const auto now = this->time.now();
        this->calls.push_back({prefix, now, now + wait, std::move(listing), std::move(callback)});
    }

    static constexpr std::uint64_t revision = 7;

    const clock& time;
    std::deque<pending_call> calls;
};

// Lists until it has a snapshot, then watches; retries with the delays of `object_watcher`.
class feed_follower {
public:
    feed_follower(const clock& time, object_store& store, std::string prefix, std::chrono::milliseconds wait)
        : prefix(std::move(prefix)), time(time), store(store), wait(wait)
    {
    }

    void step()
    {
        if (this->is_waiting || this->time.now() < this->next_call_at) {
            return;
        }
        this->is_waiting = true;
        const auto on_listing = [this](const result<object_listing>& listing) {
            this->on_listing(listing);
        };
        if (this->listed_at) {
            this->store.watch(this->prefix, 1, this->wait, on_listing);
        } else {
            this->store.list(this->prefix, on_listing);
        }
    }

    std::optional<time_point> listed_at;
    std::string prefix;

private:
    void on_listing(const result<object_listing>& listing)
    {
        this->is_waiting = false;
        if (!listing) {
            this->next_call_at = this->time.now() + this->retry_delay;
            this->retry_delay = std::min(2 * this->retry_delay, max_retry_delay);
            return;
        }
        this->retry_delay = min_retry_delay;
        if (!this->listed_at) {
            this->listed_at = this->time.now();
        }
    }

    static constexpr std::chrono::milliseconds min_retry_delay{40};
    static constexpr std::chrono::milliseconds max_retry_delay{600};

    const clock& time;
    object_store& store;
    std::chrono::milliseconds wait;
    bool is_waiting = false;
    time_point next_call_at;
    std::chrono::milliseconds retry_delay = min_retry_delay;
};

// A gateway that follows four kinds of objects, as the real one does.
class following_gateway {
public:
    following_gateway()
        : store(this->time),
          relay(this->time, this->random, this->store),
          followers{{this->time, this->relay, "configuration/", 2'200ms},
                    {this->time, this->relay, "servers/", 2'200ms},
                    {this->time, this->relay, "gateways/", long_wait},
                    {this->time, this->relay, "quarantines/", long_wait}}
    {
    }

    void run(duration span)
    {
        constexpr auto step_time = 5ms;
        for (const auto until = this->time.now() + span; this->time.now() < until;) {
            this->time.advance(step_time);
            this->store.step();
            this->relay.check();
            for (auto& follower : this->followers) {
                follower.step();
            }
        }
    }

    bool has_listed_all() const
    {
        return std::ranges::all_of(this->followers,
                                   [](const auto& each) { return each.listed_at.has_value(); });
    }

    // Returns the longest time for which a feed other than those that fail had no answer of the store, while
    // the gateway runs for `span`.
    duration longest_wait(duration span)
    {
        duration longest{0};
        for (const auto until = this->time.now() + span; this->time.now() < until;) {
            this->run(5ms);
            for (const auto& [prefix, answered_at] : this->store.answered_at) {
                if (!this->store.failing.contains(prefix)) {
                    longest = std::max(longest, this->time.now() - answered_at);
                }
            }
        }
        return longest;
    }

    // What an elected peer reports: nothing changed up to the revision of the store.
    void confirm_feeds()
    {
        auto confirmations = this->relay.confirmations();
        for (auto& confirmation : confirmations) {
            confirmation.age = 0ms;
        }
        this->relay.record_confirmations(confirmations);
    }

    manual_clock time;
    seeded_random random{seed};
    outage_store store;
    watch_relay relay;
    std::vector<feed_follower> followers;
};

class store_outage_tests : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(store_outage_tests);
    CPPUNIT_TEST(starts_while_the_store_is_down);
    CPPUNIT_TEST(probes_with_one_call_at_a_time);
    CPPUNIT_TEST(counts_as_connected_soon_after_an_outage);
    CPPUNIT_TEST(probes_rarely_while_peers_confirm);
    CPPUNIT_TEST(resumes_single_calls_at_once);
    CPPUNIT_TEST(answers_other_feeds_while_one_fails);
    CPPUNIT_TEST(starts_while_one_feed_fails);
    CPPUNIT_TEST_SUITE_END();

public:
    void starts_while_the_store_is_down()
    {
        section("a gateway starts while the store is down for six seconds", [] {
            following_gateway gateway;
            gateway.store.is_down = true;
            gateway.run(6s);
            section("all kinds together cost one call each 100 ms, besides the first of each",
                    [&] { CPPUNIT_ASSERT(gateway.store.call_count <= 6'000 / 100 + 5); });
            section("all are listed one probe after the store answers", [&] {
                gateway.store.is_down = false;
                gateway.run(220ms);
                CPPUNIT_ASSERT(gateway.has_listed_all());
                const auto listed_at = [](const auto& follower) {
                    return *follower.listed_at;
                };
                const auto [first, last] = std::ranges::minmax_element(gateway.followers, {}, listed_at);
                CPPUNIT_ASSERT(listed_at(*last) - listed_at(*first) <= 20ms);
            });
        });
    }

    void probes_with_one_call_at_a_time()
    {
        section("the store cuts off a gateway that watches, and is down for six seconds", [] {
            following_gateway gateway;
            gateway.run(1s);
            const auto calls_before = gateway.store.call_count;
            gateway.store.is_down = true;
            gateway.run(700ms);
            section("it probes often although what it knows is recent, as no peer has later news", [&] {
                const auto calls_at_first = gateway.store.call_count;
                gateway.run(1'300ms);
                CPPUNIT_ASSERT(gateway.store.call_count - calls_at_first >= 2);
            });
            gateway.run(4s);
            CPPUNIT_ASSERT(gateway.store.call_count - calls_before <= 6'000 / 300 + 5);
            section("the gateway still probes at least every 600 ms and a step",
                    [&] { CPPUNIT_ASSERT(gateway.store.call_count - calls_before >= 6'000 / 620); });
        });
    }

    // A gateway that counts as cut off is not elected. If all do, each calls the store by itself.
    void counts_as_connected_soon_after_an_outage()
    {
        section("the store was down for three seconds and answers again", [] {
            following_gateway gateway;
            gateway.run(1s);
            gateway.store.is_down = true;
            gateway.run(3s);
            CPPUNIT_ASSERT(gateway.relay.is_store_failing());
            gateway.store.is_down = false;
            section("within 1.5 s no kind counts as failing, however long its watch waits", [&] {
                gateway.run(1'500ms);
                CPPUNIT_ASSERT(!gateway.relay.is_store_failing());
            });
        });
    }

    void probes_rarely_while_peers_confirm()
    {
        section("the store rejects one gateway, and its peers confirm all kinds", [] {
            following_gateway gateway;
            gateway.run(1s);
            const auto calls_before = gateway.store.call_count;
            gateway.store.is_down = true;
            for (int step = 0; step < 45; ++step) { // NOLINT(*-magic-numbers)
                gateway.confirm_feeds();
                gateway.run(200ms);
            }
            section("nine seconds cost at most one call each 1.5 s, besides the first ones",
                    [&] { CPPUNIT_ASSERT(gateway.store.call_count - calls_before <= 9'000 / 1'500 + 6); });
            section("without the peers it is probed within 600 ms of the age that lets a watch lapse", [&] {
                const auto calls_at_end = gateway.store.call_count;
                gateway.run(2'200ms + 600ms);
                CPPUNIT_ASSERT(gateway.store.call_count > calls_at_end);
            });
        });
    }

    void resumes_single_calls_at_once()
    {
        section("a store that answers cuts off all watches once", [] {
            following_gateway gateway;
            gateway.run(1s);
            gateway.store.is_down = true;
            gateway.run(5ms);
            gateway.store.is_down = false;
            section("within a second every kind is watched again", [&] {
                gateway.run(1s);
                CPPUNIT_ASSERT(!gateway.relay.is_store_failing());
            });
        });
    }

    // Guards against a feed that takes every probe and fails each time, so that the gateway does not notice
    // that servers leave (review case 11). It fails whichever way: at once, or when a call has timed out.
    void answers_other_feeds_while_one_fails()
    {
        for (const auto failure_time : {0ms, 20ms, 1'000ms, 5'000ms}) {
            for (const std::string prefix : {"configuration/", "gateways/", "quarantines/", "servers/"}) {
                section("the calls of " + prefix + " fail after " + std::to_string(failure_time.count()) +
                            " ms each, since the store has turned the gateway away",
                        [&] {
                            following_gateway gateway;
                            gateway.run(1s);
                            gateway.store.is_down = true;
                            gateway.run(3s);
                            gateway.store.failing = {prefix};
                            gateway.store.failure_time = failure_time;
                            gateway.store.is_down = false;
                            section("the others are answered after at most one probe", [&] {
                                const auto returned_at = gateway.time.now();
                                gateway.run(2 * max_probe_delay + max_probe_time + step_slack);
                                for (const auto& follower : gateway.followers) {
                                    CPPUNIT_ASSERT(follower.prefix == prefix ||
                                                   gateway.store.answered_at[follower.prefix] >= returned_at);
                                }
                            });
                            section("and their watches are answered for as long as it fails", [&] {
                                const auto longest = gateway.longest_wait(60s);
                                CPPUNIT_ASSERT(longest <=
                                               long_wait + 2 * max_probe_delay + max_probe_time + step_slack);
                            });
                            section("it is answered soon after its cause is gone", [&] {
                                gateway.store.failing.clear();
                                const auto mended_at = gateway.time.now();
                                gateway.run(long_wait + 2s);
                                CPPUNIT_ASSERT(gateway.store.answered_at[prefix] >= mended_at);
                                CPPUNIT_ASSERT(!gateway.relay.is_store_failing());
                            });
                        });
            }
        }
        section("two feeds fail, and the two others wait for no more than two probes", [&] {
            following_gateway gateway;
            gateway.run(1s);
            gateway.store.is_down = true;
            gateway.run(3s);
            gateway.store.failing = {"configuration/", "gateways/"};
            gateway.store.failure_time = 1'000ms;
            gateway.store.is_down = false;
            const auto returned_at = gateway.time.now();
            gateway.run(3 * max_probe_delay + 2 * max_probe_time + step_slack);
            CPPUNIT_ASSERT(gateway.store.answered_at["servers/"] >= returned_at);
            CPPUNIT_ASSERT(gateway.store.answered_at["quarantines/"] >= returned_at);
        });
    }

    void starts_while_one_feed_fails()
    {
        section("a gateway starts while the store is down, and one list fails for ever after that", [] {
            for (const std::string prefix : {"configuration/", "gateways/", "quarantines/", "servers/"}) {
                following_gateway gateway;
                gateway.store.is_down = true;
                gateway.run(2s);
                gateway.store.failing = {prefix};
                gateway.store.failure_time = 1'000ms;
                gateway.store.is_down = false;
                gateway.run(2 * max_starting_delay + max_probe_time + step_slack);
                section("the others have been listed after at most one probe: " + prefix, [&] {
                    for (const auto& follower : gateway.followers) {
                        CPPUNIT_ASSERT(follower.listed_at.has_value() == (follower.prefix != prefix));
                    }
                });
            }
        });
    }

private:
    // A probe that is not answered by then does not delay the next one.
    static constexpr std::chrono::milliseconds max_probe_time{1'000};
    // Between two probes, of a gateway that follows the store and of one that starts.
    static constexpr std::chrono::milliseconds max_probe_delay{600};
    static constexpr std::chrono::milliseconds max_starting_delay{200};
    static constexpr std::chrono::milliseconds step_slack{50};
};

CPPUNIT_TEST_SUITE_REGISTRATION(store_outage_tests);

} // namespace

} // namespace tanager
