// Tests the calls of the product's own object API. Guards against a name that ends the path or the parameter
// which it is part of.
#include "net/mocks/fake_client.h"
#include "store/http_object_store.h"
#include "testing/section.h"

#include <cppunit/extensions/HelperMacros.h>

namespace tanager {

namespace {

using namespace std::chrono_literals;
using testing::section;

class http_object_store_tests : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(http_object_store_tests);
    CPPUNIT_TEST(sends_names_of_any_bytes_as_they_are);
    CPPUNIT_TEST_SUITE_END();

public:
    void sends_names_of_any_bytes_as_they_are()
    {
        fake_client client;
        const auto store = http_object_store::create(client, {"10.0.0.1", 80}, {});
        const auto path_of_last_call = [&client] {
            return client.calls.back()->request.path;
        };
        section("an object is read, written and removed", [&] {
            const std::string name = "catalogue/work/a b?c&d#e%41+";
            const std::string path = "/v1/objects/catalogue/work/a%20b%3Fc%26d%23e%2541%2B";
            store->get(name, [](const auto& /*object*/) {});
            CPPUNIT_ASSERT_EQUAL(path, path_of_last_call());
            store->put(name, "{}", 7, [](const auto& /*version*/) {});
            CPPUNIT_ASSERT_EQUAL(path + "?expected=7", path_of_last_call());
            store->remove(name, 7, [](const auto& /*version*/) {});
            CPPUNIT_ASSERT_EQUAL(path + "?expected=7", path_of_last_call());
        });
        section("objects under a prefix are listed and watched", [&] {
            store->list("a&since=1/b c/", [](const auto& /*listing*/) {});
            CPPUNIT_ASSERT_EQUAL(std::string{"/v1/objects?prefix=a%26since%3D1/b%20c/"}, path_of_last_call());
            store->watch("a&b/", 5, 100ms, [](const auto& /*listing*/) {});
            CPPUNIT_ASSERT_EQUAL(std::string{"/v1/watch?prefix=a%26b/&since=5&wait_ms=100"},
                                 path_of_last_call());
        });
        section("usual names are sent unchanged", [&] {
            store->get("catalogue/work/swatch-check.v2", [](const auto& /*object*/) {});
            CPPUNIT_ASSERT_EQUAL(std::string{"/v1/objects/catalogue/work/swatch-check.v2"},
                                 path_of_last_call());
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(http_object_store_tests);

} // namespace

} // namespace tanager
