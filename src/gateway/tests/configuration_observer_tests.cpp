// Tests which versions of the configuration a gateway decodes and applies.
#include "gateway/internal/configuration_observer.h"
#include "testing/section.h"

#include <cppunit/extensions/HelperMacros.h>

namespace tanager {

namespace {

using testing::section;

// The value of a configuration is its version; one without a number cannot be decoded.
class counting_codec final : public store_codec {
public:
    std::string configuration_prefix() const override
    {
        return "config/";
    }

    std::string configuration_object_name() const override
    {
        return "config/main";
    }

    std::string server_prefix() const override
    {
        return "servers/";
    }

    result<route_table> decode_configuration(const stored_object& object) const override
    {
        ++this->decoded;
        if (object.value == "unusable") {
            return fail(result_code::configuration_invalid, object.value);
        }
        route_table table;
        table.version = std::stoull(object.value);
        return table;
    }

    result<backend_server> decode_server(const stored_object& /*object*/) const override
    {
        return backend_server{};
    }

    mutable int decoded = 0;
};

object_listing changes(std::uint64_t since, const std::vector<std::string>& values)
{
    object_listing listing{since, since, false, {}};
    for (const auto& value : values) {
        listing.objects.push_back({"config/main", ++listing.revision, false, value});
    }
    return listing;
}

class configuration_observer_tests : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(configuration_observer_tests);
    CPPUNIT_TEST(decodes_the_newest_of_several_versions);
    CPPUNIT_TEST(takes_an_earlier_version_in_place_of_an_unusable_one);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a slow host that decodes every version which it has missed, and does nothing else
    // meanwhile.
    void decodes_the_newest_of_several_versions()
    {
        const counting_codec codec;
        route_directory routes;
        configuration_observer observer(codec, routes);
        section("five versions come at once", [&] {
            observer.on_listing(changes(10, {"1", "2", "3", "4", "5"}));
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, routes.version());
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{15}, observer.known_revision());
            CPPUNIT_ASSERT_EQUAL(1, codec.decoded);
        });
        section("other objects and deletions beside them change nothing", [&] {
            auto listing = changes(15, {"6"});
            listing.objects.push_back({"config/other", 17, false, "7"});
            listing.objects.push_back({"config/main", 18, true, {}});
            observer.on_listing(listing);
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{6}, routes.version());
        });
    }

    void takes_an_earlier_version_in_place_of_an_unusable_one()
    {
        const counting_codec codec;
        route_directory routes;
        configuration_observer observer(codec, routes);
        section("the newest of three versions cannot be decoded", [&] {
            observer.on_listing(changes(10, {"1", "2", "unusable"}));
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, routes.version());
            section("the one in force does not count as the newest",
                    [&] { CPPUNIT_ASSERT(!observer.is_newest_in_force()); });
        });
        section("the next one can be", [&] {
            observer.on_listing(changes(13, {"unusable", "4"}));
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, routes.version());
            CPPUNIT_ASSERT(observer.is_newest_in_force());
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(configuration_observer_tests);

} // namespace

} // namespace tanager
