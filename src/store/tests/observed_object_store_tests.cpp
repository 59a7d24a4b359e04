// Tests that the calls to the store can be told apart. Guards against a number of calls that grows unseen.
#include "base/mocks/manual_clock.h"
#include "store/mocks/fault_injecting_store.h"
#include "store/mocks/watch_only_store.h"
#include "store/observed_object_store.h"
#include "testing/section.h"

#include <cppunit/extensions/HelperMacros.h>

namespace tanager {

namespace {

using testing::section;

class answering_store final : public watch_only_store {
public:
    void list(const std::string& /*prefix*/, listing_callback callback) override
    {
        object_listing listing{0, 1, true, {}};
        listing.is_incomplete = this->lists_incompletely;
        callback(listing);
    }

    void watch(const std::string& /*prefix*/,
               std::uint64_t /*since*/,
               std::chrono::milliseconds /*max_wait*/,
               listing_callback callback) override
    {
        callback(fail(result_code::store_unavailable, "down"));
    }

    bool lists_incompletely = false;
};

class observed_object_store_tests : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(observed_object_store_tests);
    CPPUNIT_TEST(counts_calls_by_kind_prefix_and_outcome);
    CPPUNIT_TEST(shows_incomplete_lists);
    CPPUNIT_TEST(passes_the_era_on);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a holder of a duty that takes a state of an earlier era for one of the era in force.
    void passes_the_era_on()
    {
        const manual_clock time;
        metrics_registry metrics;
        fault_injecting_store restored(1);
        const observed_object_store store(time, metrics, restored);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, store.known_era());
        restored.restore({}, 0);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, store.known_era());
    }

    void counts_calls_by_kind_prefix_and_outcome()
    {
        section("a process lists, watches in vain, and reads two objects that do not exist", [] {
            const manual_clock time;
            metrics_registry metrics;
            answering_store answering;
            observed_object_store store(time, metrics, answering);
            int results = 0;
            const auto count = [&results](const auto& /*outcome*/) {
                ++results;
            };
            store.list("servers/", count);
            store.watch("servers/", 1, std::chrono::milliseconds{1}, count);
            store.get("gateways/a", count);
            store.get("gateways/b", count);
            section("every call has its result", [&] { CPPUNIT_ASSERT_EQUAL(4, results); });
            section("each kind has its counter", [&] {
                const auto calls = [&metrics](const std::string& series) {
                    return metrics.counter_value("tanager_store_calls_total", series);
                };
                CPPUNIT_ASSERT_EQUAL(std::uint64_t{1},
                                     calls(R"(call="list",prefix="servers/",outcome="done")"));
                CPPUNIT_ASSERT_EQUAL(std::uint64_t{1},
                                     calls(R"(call="watch",prefix="servers/",outcome="store_unavailable")"));
                CPPUNIT_ASSERT_EQUAL(std::uint64_t{2},
                                     calls(R"(call="get",prefix="gateways/",outcome="object_unknown")"));
            });
        });
    }

    void shows_incomplete_lists()
    {
        section("a list is incomplete, and the next one is not", [] {
            const manual_clock time;
            metrics_registry metrics;
            answering_store answering;
            observed_object_store store(time, metrics, answering);
            for (const bool is_incomplete : {true, false}) {
                answering.lists_incompletely = is_incomplete;
                store.list("servers/", [](const auto& /*listing*/) {});
                const std::string shown = is_incomplete ? "1" : "0";
                CPPUNIT_ASSERT(metrics.render().find(R"(tanager_store_list_incomplete{prefix="servers/"} )" +
                                                     shown) != std::string::npos);
            }
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(observed_object_store_tests);

} // namespace

} // namespace tanager
