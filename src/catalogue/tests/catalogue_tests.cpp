#include "base/digest.h"
#include "base/mocks/recording_invariant_monitor.h"
#include "catalogue/catalogue.h"
#include "testing/section.h"

#include <cppunit/extensions/HelperMacros.h>

using tanager::testing::section;

namespace tanager {

namespace {

catalogue_object make_work_object(std::uint64_t revision, const std::string& name, const std::string& pool)
{
    return {"work/" + name,
            revision,
            false,
            R"({"owner":"midlands","class":"swatch","idempotent":true,"pool":")" + pool + "\"}"};
}

catalogue_object make_deletion(std::uint64_t revision, const std::string& name)
{
    return {"work/" + name, revision, true, ""};
}

} // namespace

class catalogue_tests : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(catalogue_tests);
    CPPUNIT_TEST(applies_only_newer_deltas);
    CPPUNIT_TEST(stale_peer_does_not_restore_deleted_entries);
    CPPUNIT_TEST(entries_are_validated);
    CPPUNIT_TEST(finds_member_by_key);
    CPPUNIT_TEST(slot_shares_add_up_to_the_cap);
    CPPUNIT_TEST_SUITE_END();

public:
    void applies_only_newer_deltas()
    {
        recording_invariant_monitor invariants;
        catalogue current(invariants);
        int changes = 0;
        current.on_change([&] { ++changes; });
        CPPUNIT_ASSERT(current.apply({0, 5, true, {make_work_object(5, "swatch", "a")}}) ==
                       delta_outcome::applied);
        section("an older snapshot is ignored", [&] {
            CPPUNIT_ASSERT(current.apply({0, 4, true, {make_work_object(4, "swatch", "b")}}) ==
                           delta_outcome::not_newer);
            CPPUNIT_ASSERT_EQUAL(std::string{"a"}, current.find_work("swatch")->pool);
        });
        section("a delta that leaves a gap is not applied", [&] {
            CPPUNIT_ASSERT(current.apply({7, 9, false, {make_work_object(9, "swatch", "c")}}) ==
                           delta_outcome::gap);
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, current.revision());
        });
        section("an overlapping delta is applied once", [&] {
            const catalogue_delta next{3, 7, false, {make_work_object(7, "swatch", "d")}};
            CPPUNIT_ASSERT(current.apply(next) == delta_outcome::applied);
            CPPUNIT_ASSERT(current.apply(next) == delta_outcome::not_newer);
            CPPUNIT_ASSERT_EQUAL(std::string{"d"}, current.find_work("swatch")->pool);
        });
        CPPUNIT_ASSERT_EQUAL(2, changes);
        CPPUNIT_ASSERT(invariants.violations.empty());
    }

    void stale_peer_does_not_restore_deleted_entries()
    {
        recording_invariant_monitor invariants;
        catalogue up_to_date(invariants);
        up_to_date.apply({0, 5, true, {make_work_object(5, "swatch", "a"), make_work_object(3, "gel", "a")}});
        up_to_date.apply({5, 8, false, {make_deletion(8, "gel")}});
        CPPUNIT_ASSERT(up_to_date.find_work("gel") == nullptr);
        section("a peer that is still at revision 5 sends its state", [&] {
            catalogue stale(invariants);
            stale.apply({0, 5, true, {make_work_object(5, "swatch", "a"), make_work_object(3, "gel", "a")}});
            CPPUNIT_ASSERT(up_to_date.apply(stale.changes_since(0)) == delta_outcome::not_newer);
            section("the stale peer receives the deletion", [&] {
                CPPUNIT_ASSERT(stale.apply(up_to_date.changes_since(stale.revision())) ==
                               delta_outcome::applied);
                CPPUNIT_ASSERT(stale.find_work("gel") == nullptr);
            });
        });
        section("a peer at a revision before the first listing gets a snapshot", [&] {
            catalogue old(invariants);
            old.apply({0, 2, true, {make_work_object(2, "withdrawn", "a")}});
            const auto delta = up_to_date.changes_since(old.revision());
            CPPUNIT_ASSERT(delta.is_snapshot);
            old.apply(delta);
            CPPUNIT_ASSERT(old.find_work("withdrawn") == nullptr);
            CPPUNIT_ASSERT(old.find_work("swatch") != nullptr);
        });
        section("a listing with an older version of an entry violates the invariant", [&] {
            up_to_date.apply({0, 20, true, {make_work_object(1, "swatch", "z")}});
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, invariants.violations.size());
            CPPUNIT_ASSERT_EQUAL(std::string{"a"}, up_to_date.find_work("swatch")->pool);
        });
    }

    void entries_are_validated()
    {
        const auto problem_of = [](const std::string& name, const std::string& json) {
            const auto parsed = parse_catalogue_entry(name, json);
            return parsed ? std::string{} : parsed.error().detail;
        };
        const auto contains = [](const std::string& text, const std::string& part) {
            return text.find(part) != std::string::npos;
        };
        CPPUNIT_ASSERT(contains(problem_of("work/a", "{"), "is not a JSON object"));
        CPPUNIT_ASSERT(contains(problem_of("work/A", "{}"), "the name may hold only"));
        CPPUNIT_ASSERT(contains(problem_of("work/a", "{}"), "owner: is required"));
        CPPUNIT_ASSERT(contains(problem_of("work/a", R"({"ownr":"x"})"), "did you mean 'owner'?"));
        CPPUNIT_ASSERT(contains(problem_of("odd/a", "{}"), "is none of: member, pool, work"));
        CPPUNIT_ASSERT(contains(problem_of("member/a", R"({"key_digests":["x"]})"), "not a SHA-256 digest"));
        const std::string duplicate_slot = R"({"kind":"service","region":"r","slots":2,"agents":[
            {"host":"h1","data_centre":"d","address":"127.0.0.1:1","slot":1},
            {"host":"h2","data_centre":"d","address":"127.0.0.1:2","slot":1}]})";
        CPPUNIT_ASSERT(contains(problem_of("pool/p", duplicate_slot), "slot 1 is taken twice"));
        section("a work entry without the idempotent field is not idempotent", [&] {
            const auto parsed = parse_catalogue_entry("work/a", R"({"owner":"o","class":"c","pool":"p"})");
            CPPUNIT_ASSERT(!std::get<work_entry>(*parsed).idempotent);
        });
    }

    void finds_member_by_key()
    {
        recording_invariant_monitor invariants;
        catalogue current(invariants);
        const std::string json =
            R"({"key_digests":[")" + sha256_hex("right") + R"("],"caps":[{"pool":"p","pieces":7}]})";
        current.apply({0, 1, true, {{"member/midlands", 1, false, json}}});
        CPPUNIT_ASSERT_EQUAL(std::string{"midlands"}, current.find_member_by_key("right")->name);
        CPPUNIT_ASSERT(current.find_member_by_key("wrong") == nullptr);
        CPPUNIT_ASSERT_EQUAL(7U, current.find_member("midlands")->cap_in("p"));
        CPPUNIT_ASSERT_EQUAL(0U, current.find_member("midlands")->cap_in("q"));
        section("a removed key is no longer accepted", [&] {
            current.apply({1, 2, false, {{"member/midlands", 2, false, "{}"}}});
            CPPUNIT_ASSERT(current.find_member_by_key("right") == nullptr);
        });
    }

    void slot_shares_add_up_to_the_cap()
    {
        for (std::uint32_t slots = 1; slots < 40; ++slots) {
            for (const std::uint32_t cap : {0U, 1U, 7U, 40U, 1'000'000U}) {
                std::uint32_t sum = 0;
                for (std::uint32_t slot = 0; slot < slots; ++slot) {
                    sum += cap_share_of_slot(cap, slots, slot);
                }
                CPPUNIT_ASSERT_EQUAL(cap, sum);
            }
        }
        CPPUNIT_ASSERT_EQUAL(0U, cap_share_of_slot(10, 2, 2));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(catalogue_tests);

} // namespace tanager
