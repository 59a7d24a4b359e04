#include "organisations/caller_gate.h"
#include "organisations/organisation_directory.h"
#include "testing/section.h"

#include <cppunit/extensions/HelperMacros.h>

namespace tanager {

namespace {

using testing::section;

constexpr std::size_t digest_length = 64;

organisation make_organisation(const std::string& name, const std::vector<std::string>& keys)
{
    organisation made{name, {}, {}};
    for (const auto& key : keys) {
        made.key_digests.push_back(digest_of_key(key));
    }
    return made;
}

std::string name_of_holder(const organisation_directory& directory, std::string_view key)
{
    const auto* const found = directory.find_by_key(key);
    return found == nullptr ? "-" : found->name;
}

class organisations_tests : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(organisations_tests);
    CPPUNIT_TEST(finds_the_holder_of_a_key);
    CPPUNIT_TEST(settles_contradictions_alike_everywhere);
    CPPUNIT_TEST(serves_hundreds_of_organisations);
    CPPUNIT_TEST(identifies_callers);
    CPPUNIT_TEST_SUITE_END();

public:
    void finds_the_holder_of_a_key()
    {
        section("two organisations have keys, and a third has none", [] {
            const auto directory = organisation_directory::create({{make_organisation("bank", {"k1", "k2"}),
                                                                    make_organisation("shop", {"k3"}),
                                                                    make_organisation("empty", {})},
                                                                   {}});
            section("each key belongs to its organisation", [&] {
                CPPUNIT_ASSERT_EQUAL(std::string{"bank"}, name_of_holder(*directory, "k1"));
                CPPUNIT_ASSERT_EQUAL(std::string{"bank"}, name_of_holder(*directory, "k2"));
                CPPUNIT_ASSERT_EQUAL(std::string{"shop"}, name_of_holder(*directory, "k3"));
            });
            section("keys that differ in case, or by a prefix, are unknown", [&] {
                for (const auto* const key : {"", "K1", "k", "k11", " k1", "k1 "}) {
                    CPPUNIT_ASSERT_EQUAL(std::string{"-"}, name_of_holder(*directory, key));
                }
            });
            section("no key itself is kept", [&] {
                for (const auto& entry : directory->organisations()) {
                    for (const auto& digest : entry.key_digests) {
                        CPPUNIT_ASSERT_EQUAL(digest_length, digest.size());
                    }
                }
            });
        });
        section("keys of strange bytes and lengths are as good as others", [] {
            const std::string bytes{"\0\xff\r\n\"", 5};
            const std::string huge(100'000, 'x');
            const auto directory =
                organisation_directory::create({{make_organisation("odd", {bytes, huge})}, {}});
            CPPUNIT_ASSERT_EQUAL(std::string{"odd"}, name_of_holder(*directory, bytes));
            CPPUNIT_ASSERT_EQUAL(std::string{"odd"}, name_of_holder(*directory, huge));
            CPPUNIT_ASSERT_EQUAL(std::string{"-"}, name_of_holder(*directory, huge + "x"));
        });
        section("a key moves between organisations: the next configuration has its new holder", [] {
            const auto before = organisation_directory::create(
                {{make_organisation("bank", {"k1"}), make_organisation("shop", {})}, {}});
            const auto after = organisation_directory::create(
                {{make_organisation("bank", {}), make_organisation("shop", {"k1"})}, {}});
            CPPUNIT_ASSERT_EQUAL(std::string{"bank"}, name_of_holder(*before, "k1"));
            CPPUNIT_ASSERT_EQUAL(std::string{"shop"}, name_of_holder(*after, "k1"));
        });
    }

    void settles_contradictions_alike_everywhere()
    {
        section("two organisations list one key: the first holds it, and a problem names both", [] {
            const auto directory = organisation_directory::create(
                {{make_organisation("bank", {"k1"}), make_organisation("shop", {"k1", "k2"})}, {}});
            CPPUNIT_ASSERT_EQUAL(std::string{"bank"}, name_of_holder(*directory, "k1"));
            CPPUNIT_ASSERT_EQUAL(std::string{"shop"}, name_of_holder(*directory, "k2"));
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, directory->problems().size());
            CPPUNIT_ASSERT(!directory->is_complete());
        });
        section("an organisation lists a key twice, which is no problem", [] {
            const auto directory =
                organisation_directory::create({{make_organisation("bank", {"k1", "k1"})}, {}});
            CPPUNIT_ASSERT(directory->is_complete());
        });
        section("the second of two entries with one name is passed over", [] {
            const auto directory = organisation_directory::create(
                {{make_organisation("bank", {"k1"}), make_organisation("bank", {"k2"})}, {}});
            CPPUNIT_ASSERT_EQUAL(std::string{"bank"}, name_of_holder(*directory, "k1"));
            CPPUNIT_ASSERT_EQUAL(std::string{"-"}, name_of_holder(*directory, "k2"));
            CPPUNIT_ASSERT(!directory->is_complete());
        });
    }

    void serves_hundreds_of_organisations()
    {
        section("490 organisations have three keys each", [] {
            constexpr int count = 490;
            organisation_list list;
            for (int index = 0; index < count; ++index) {
                const auto name = "o" + std::to_string(index);
                list.organisations.push_back(make_organisation(name, {name + "a", name + "b", name + "c"}));
            }
            const auto directory = organisation_directory::create(std::move(list));
            for (int index = 0; index < count; ++index) {
                const auto name = "o" + std::to_string(index);
                for (const auto* const suffix : {"a", "b", "c"}) {
                    CPPUNIT_ASSERT_EQUAL(name, name_of_holder(*directory, name + suffix));
                }
            }
        });
    }

    void identifies_callers()
    {
        auto bank = make_organisation("bank", {"k1"});
        bank.priority = 1;
        const auto directory = organisation_directory::create({{bank}, {}});
        section("a caller with a known key belongs to its organisation, and has its priority", [&] {
            const auto caller = caller_gate::identify(*directory, {"k1", true});
            CPPUNIT_ASSERT(caller == caller_identity({"bank", 1}));
        });
        section("a caller with another key, or with none, is unknown", [&] {
            for (const auto* const key : {"k2", ""}) {
                const auto caller = caller_gate::identify(*directory, {key, true});
                CPPUNIT_ASSERT(caller.error().code == result_code::caller_unknown);
            }
        });
        section("a request that needs no key is admitted with any, and belongs to a known caller", [&] {
            CPPUNIT_ASSERT(caller_gate::identify(*directory, {"", false}) == caller_identity{});
            CPPUNIT_ASSERT(caller_gate::identify(*directory, {"k2", false}) == caller_identity{});
            CPPUNIT_ASSERT(caller_gate::identify(*directory, {"k1", false}) == caller_identity({"bank", 1}));
        });
        section("an entry was passed over: an unknown key may be one of its keys", [&] {
            const auto incomplete = organisation_directory::create({{bank}, {"entry 1 has no usable name"}});
            CPPUNIT_ASSERT(caller_gate::identify(*incomplete, {"k1", true}) == caller_identity({"bank", 1}));
            CPPUNIT_ASSERT(caller_gate::identify(*incomplete, {"k2", true}).error().code ==
                           result_code::configuration_outdated);
            CPPUNIT_ASSERT(caller_gate::identify(*incomplete, {"", true}).error().code ==
                           result_code::caller_unknown);
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(organisations_tests);

} // namespace

} // namespace tanager
