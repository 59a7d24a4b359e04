#include "base/mocks/seeded_random.h"
#include "store/object_watcher.h"
#include "testing/section.h"

#include <cppunit/extensions/HelperMacros.h>

namespace tanager {

namespace {

using namespace std::chrono_literals;
using testing::section;

constexpr std::uint64_t seed = 20261204;

// A store that answers a watch at once when something has changed since, and otherwise keeps it.
class changing_store final : public object_store {
public:
    void list(const std::string& /*prefix*/, listing_callback callback) override
    {
        callback(object_listing{0, this->revision, true, {}});
    }

    void watch(const std::string& /*prefix*/, std::uint64_t since, listing_callback callback) override
    {
        ++this->watches;
        this->watched_since = since;
        this->waiting = std::move(callback);
        this->tell();
    }

    void get(const std::string& /*name*/, object_callback callback) override
    {
        callback(fail(result_code::object_unknown, "not part of this fake"));
    }

    void put(const std::string& /*name*/,
             const std::string& /*value*/,
             std::uint64_t /*expected*/,
             version_callback callback) override
    {
        callback(fail(result_code::store_unavailable, "not part of this fake"));
    }

    void remove(const std::string& /*name*/, std::uint64_t /*expected*/, version_callback callback) override
    {
        callback(fail(result_code::store_unavailable, "not part of this fake"));
    }

    void change()
    {
        ++this->revision;
        this->tell();
    }

    // Returns whether a watch waits for the next change.
    bool is_watched() const
    {
        return this->waiting != nullptr;
    }

    int watches = 0;

private:
    void tell()
    {
        if (this->waiting == nullptr || this->revision == this->watched_since) {
            return;
        }
        object_listing changes{this->watched_since, this->revision, false, {}};
        for (auto version = this->watched_since + 1; version <= this->revision; ++version) {
            changes.objects.push_back({"kind/" + std::to_string(version), version, false, "{}"});
        }
        const auto told = std::exchange(this->waiting, nullptr);
        told(changes);
    }

    std::uint64_t revision = 1;
    std::uint64_t watched_since = 0;
    listing_callback waiting;
};

class counting_observer final : public object_watch_handler {
public:
    std::uint64_t known_revision() const override
    {
        return this->revision;
    }

    watch_action on_listing(const object_listing& listing) override
    {
        this->revision = listing.revision;
        this->objects += listing.objects.size();
        return watch_action::continue_watching;
    }

    void on_store_unavailable(const error& /*cause*/) override {}
    void on_store_recovered() override {}

    std::uint64_t revision = 0;
    std::size_t objects = 0;
};

class store_tests : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(store_tests);
    CPPUNIT_TEST(learns_together_what_changes_together);
    CPPUNIT_TEST_SUITE_END();

public:
    // Thirty gateways start within a third of a second, and each writes its object: every one of them would
    // hear of every write by a call of its own.
    void learns_together_what_changes_together()
    {
        section("thirty changes follow one another at once", [] {
            section("a follower that gathers needs three watches",
                    [] { CPPUNIT_ASSERT_EQUAL(3, watches_for_thirty_changes({20ms})); });
            section("one that does not gather needs one for each change",
                    [] { CPPUNIT_ASSERT_EQUAL(31, watches_for_thirty_changes({})); });
        });
    }

private:
    // Returns the watches until the follower knows of all changes and watches for the next one.
    static int watches_for_thirty_changes(const watch_options& pace)
    {
        constexpr std::size_t changes = 30;
        const auto loop = std::move(*event_loop::create());
        changing_store store;
        seeded_random random(seed);
        counting_observer observer;
        const auto follower = object_watcher::create(*loop, store, random, "kind/", observer, pace);
        follower->start();
        for (std::size_t count = 0; count < changes; ++count) {
            store.change();
        }
        while (observer.objects < changes || !store.is_watched()) {
            loop->run_once();
        }
        return store.watches;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(store_tests);

} // namespace

} // namespace tanager
