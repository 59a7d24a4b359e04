#include "base/mocks/seeded_random.h"
#include "store/mocks/watch_only_store.h"
#include "store/object_watcher.h"
#include "store/types/fencing_token.h"
#include "testing/section.h"

#include <cppunit/extensions/HelperMacros.h>

namespace tanager {

namespace {

using namespace std::chrono_literals;
using testing::section;

constexpr std::uint64_t seed = 20261204;

// Fake store that completes a watch at once if something changed after `since`, and otherwise at the next
// change.
class fake_watch_store final : public watch_only_store {
public:
    void list(const std::string& /*prefix*/, listing_callback callback) override
    {
        ++this->list_count;
        object_listing listing{0, this->revision, true, {}};
        listing.is_incomplete = this->incomplete_lists > 0;
        this->incomplete_lists -= listing.is_incomplete ? 1 : 0;
        callback(listing);
    }

    void watch(const std::string& /*prefix*/,
               std::uint64_t since,
               std::chrono::milliseconds /*max_wait*/,
               listing_callback callback) override
    {
        ++this->watch_count;
        this->watched_since = since;
        this->pending_watch = std::move(callback);
        this->deliver_changes();
    }

    void change()
    {
        ++this->revision;
        this->deliver_changes();
    }

    void lose_history()
    {
        const auto deliver = std::exchange(this->pending_watch, nullptr);
        deliver(fail(result_code::history_lost, "too long"));
    }

    // Returns whether a watch is pending, that is, waits for the next change.
    bool has_pending_watch() const
    {
        return this->pending_watch != nullptr;
    }

    int watch_count = 0;
    int list_count = 0;
    int incomplete_lists = 0; // how many of the next lists are incomplete

private:
    void deliver_changes()
    {
        if (this->pending_watch == nullptr || this->revision == this->watched_since) {
            return;
        }
        object_listing changes{this->watched_since, this->revision, false, {}};
        for (auto version = this->watched_since + 1; version <= this->revision; ++version) {
            changes.objects.push_back({"kind/" + std::to_string(version), version, false, "{}"});
        }
        const auto deliver = std::exchange(this->pending_watch, nullptr);
        deliver(changes);
    }

    std::uint64_t revision = 1;
    std::uint64_t watched_since = 0;
    listing_callback pending_watch;
};

class recording_watch_handler final : public object_watch_handler {
public:
    std::uint64_t known_revision() const override
    {
        return this->revision;
    }

    watch_action on_listing(const object_listing& listing) override
    {
        this->revision = listing.revision;
        this->object_count += listing.objects.size();
        return watch_action::continue_watching;
    }

    void on_store_unavailable(const error& /*cause*/) override {}
    void on_store_recovered() override {}

    std::uint64_t revision = 0;
    std::size_t object_count = 0;
};

class store_tests : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(store_tests);
    CPPUNIT_TEST(coalesces_changes_that_follow_at_once);
    CPPUNIT_TEST(repeats_incomplete_lists);
    CPPUNIT_TEST(lists_ever_less_often_while_no_watch_is_answered);
    CPPUNIT_TEST(orders_revisions_over_eras);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against one watch call per change: when 30 gateways start within a third of a second and each
    // writes its object, every gateway would otherwise make a call for every write.
    void coalesces_changes_that_follow_at_once()
    {
        section("thirty changes follow directly on one another", [] {
            section("a watcher with a coalescing delay needs three watch calls",
                    [] { CPPUNIT_ASSERT_EQUAL(3, count_watches_for_thirty_changes({20ms})); });
            section("a watcher without a coalescing delay needs one watch call for each change",
                    [] { CPPUNIT_ASSERT_EQUAL(31, count_watches_for_thirty_changes({})); });
        });
    }

    void repeats_incomplete_lists()
    {
        const auto loop = std::move(*event_loop::create());
        fake_watch_store store;
        store.incomplete_lists = 1;
        seeded_random random(seed);
        recording_watch_handler handler;
        watch_options options;
        options.incomplete_list_lifetime = 20ms;
        const auto watcher = object_watcher::create(*loop, store, random, "kind/", handler, options);
        watcher->start();
        section("a list was incomplete: it is watched for changes, and not listed again at once", [&] {
            store.change();
            CPPUNIT_ASSERT_EQUAL(1, store.list_count);
            CPPUNIT_ASSERT(store.has_pending_watch());
        });
        section("at the first change after its lifetime it is listed again", [&] {
            while (store.list_count == 1) {
                loop->run_once();
                store.change();
            }
            CPPUNIT_ASSERT_EQUAL(2, store.list_count);
        });
        section("a complete list is not repeated", [&] {
            bool is_over = false;
            const auto timer = loop->run_after(2 * options.incomplete_list_lifetime, [&] { is_over = true; });
            while (!is_over) {
                loop->run_once();
            }
            store.change();
            CPPUNIT_ASSERT_EQUAL(2, store.list_count);
        });
    }

    // Load pattern: versions of a large configuration go on coming, each list is followed by changes that are
    // too long for a watch, and hundreds of gateways do the same.
    void lists_ever_less_often_while_no_watch_is_answered()
    {
        const auto loop = std::move(*event_loop::create());
        fake_watch_store store;
        seeded_random random(seed);
        recording_watch_handler handler;
        const auto watcher = object_watcher::create(*loop, store, random, "kind/", handler, {});
        watcher->start();
        const auto lose_history_for = [&](duration span) {
            bool is_over = false;
            const auto timer = loop->run_after(span, [&] { is_over = true; });
            const auto lists_before = store.list_count;
            while (!is_over) {
                if (store.has_pending_watch()) {
                    store.lose_history();
                }
                loop->run_once();
            }
            return store.list_count - lists_before;
        };
        section("the first lists follow at once", [&] { CPPUNIT_ASSERT(lose_history_for(200ms) >= 2); });
        section("after a second there are two of them in a second at most on average", [&] {
            lose_history_for(800ms);
            CPPUNIT_ASSERT(lose_history_for(2'000ms) <= 2 * 2 + 2);
        });
        section("the first answer to a watch ends that", [&] {
            while (!store.has_pending_watch()) {
                loop->run_once();
            }
            store.change();
            CPPUNIT_ASSERT(lose_history_for(200ms) >= 2);
        });
    }

    void orders_revisions_over_eras()
    {
        section("a revision that is given out again in the next era has a higher token", [] {
            CPPUNIT_ASSERT(fencing_token(2, 100) > fencing_token(1, 120));
            CPPUNIT_ASSERT(fencing_token(2, 100) != fencing_token(1, 100));
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, era_of(fencing_token(2, 100)));
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{100}, revision_of(fencing_token(2, 100)));
        });
        section("without an era the token is the revision",
                [] { CPPUNIT_ASSERT_EQUAL(std::uint64_t{100}, fencing_token(0, 100)); });
        section("the highest token is exact in JSON, and there is none beyond it", [] {
            constexpr std::uint64_t exact_numbers = std::uint64_t{1} << 53U;
            CPPUNIT_ASSERT(make_fencing_token(max_era, max_revision).value() < exact_numbers);
            CPPUNIT_ASSERT(!make_fencing_token(max_era + 1, 1));
            CPPUNIT_ASSERT(!make_fencing_token(1, max_revision + 1));
        });
    }

private:
    // Returns the number of watch calls until the watcher has received all changes and waits for the next
    // one.
    static int count_watches_for_thirty_changes(const watch_options& options)
    {
        constexpr std::size_t changes = 30;
        const auto loop = std::move(*event_loop::create());
        fake_watch_store store;
        seeded_random random(seed);
        recording_watch_handler handler;
        const auto watcher = object_watcher::create(*loop, store, random, "kind/", handler, options);
        watcher->start();
        for (std::size_t count = 0; count < changes; ++count) {
            store.change();
        }
        while (handler.object_count < changes || !store.has_pending_watch()) {
            loop->run_once();
        }
        return store.watch_count;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(store_tests);

} // namespace

} // namespace tanager
