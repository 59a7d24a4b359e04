#include "routes/route_directory.h"
#include "testing/section.h"

#include <cppunit/extensions/HelperMacros.h>

namespace tanager {

namespace {

using testing::section;

route make_route(const std::string& name, const std::string& prefix)
{
    route made;
    made.name = name;
    made.host = "shop.example";
    made.path_prefix = prefix;
    made.services = {{"desk", 1}};
    return made;
}

class routes_tests : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(routes_tests);
    CPPUNIT_TEST(finds_the_longest_prefix);
    CPPUNIT_TEST(ignores_older_configurations);
    CPPUNIT_TEST(divides_requests_by_weight);
    CPPUNIT_TEST_SUITE_END();

public:
    void finds_the_longest_prefix()
    {
        section("a host has a route whose prefix extends that of another route", [] {
            route_directory directory;
            directory.apply({1, {make_route("outer", "/a/"), make_route("inner", "/a/b/")}, {}});
            const auto find_route_name = [&](std::string_view host, std::string_view path) {
                const auto found = directory.find(host, path);
                return found == nullptr ? std::string{} : found->name;
            };
            section("the route with the longest matching prefix is found", [&] {
                CPPUNIT_ASSERT_EQUAL(std::string{"inner"}, find_route_name("shop.example", "/a/b/c?x=/a/"));
                CPPUNIT_ASSERT_EQUAL(std::string{"outer"}, find_route_name("shop.example", "/a/bc"));
                CPPUNIT_ASSERT_EQUAL(std::string{"outer"}, find_route_name("shop.example", "/a/"));
            });
            section("the case and the port of the host are ignored", [&] {
                CPPUNIT_ASSERT_EQUAL(std::string{"outer"}, find_route_name("SHOP.example:80", "/a/x"));
            });
            section("no route is found for other hosts and paths", [&] {
                CPPUNIT_ASSERT_EQUAL(std::string{}, find_route_name("shop.example", "/a"));
                CPPUNIT_ASSERT_EQUAL(std::string{}, find_route_name("shop.example", "/b/?/a/b/"));
                CPPUNIT_ASSERT_EQUAL(std::string{}, find_route_name("other.example", "/a/x"));
            });
        });
    }

    void ignores_older_configurations()
    {
        section("a configuration is in force", [] {
            route_directory directory;
            CPPUNIT_ASSERT(directory.apply({7, {make_route("new", "/a/")}, {}}));
            section("an older configuration that arrives later is ignored", [&] {
                CPPUNIT_ASSERT(!directory.apply({5, {make_route("old", "/a/")}, {}}));
                CPPUNIT_ASSERT_EQUAL(std::string{"new"}, directory.find("shop.example", "/a/")->name);
                CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, directory.version());
            });
        });
    }

    void divides_requests_by_weight()
    {
        section("a route divides its requests nine to one between two services", [] {
            route split = make_route("split", "/a/");
            split.services = {{"left", 9}, {"right", 1}};
            unsigned right = 0;
            for (std::uint64_t draw = 0; draw < 1'000; ++draw) {
                right += choose_service(split, draw) == "right" ? 1 : 0;
            }
            CPPUNIT_ASSERT_EQUAL(100U, right);
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(routes_tests);

} // namespace

} // namespace tanager
