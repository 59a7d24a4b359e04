// Tests the calls of the product's own object API. Guards against a name that ends the path or the parameter
// which it is part of.
#include "net/mocks/fake_client.h"
#include "store/http_object_store.h"
#include "testing/concatenate.h"
#include "testing/section.h"

#include <cppunit/extensions/HelperMacros.h>

namespace tanager {

namespace {

using namespace std::chrono_literals;
using testing::concatenate;
using testing::section;

class http_object_store_tests : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(http_object_store_tests);
    CPPUNIT_TEST(sends_names_of_any_bytes_as_they_are);
    CPPUNIT_TEST(reads_the_rest_of_a_list_with_unreadable_entries);
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

    // Guards against a catalogue or host list that is not read at all because of one entry.
    void reads_the_rest_of_a_list_with_unreadable_entries()
    {
        fake_client client;
        const auto store = http_object_store::create(client, {"10.0.0.1", 80}, {});
        const std::string readable = R"({"name":"catalogue/a","version":3,"value":"{}"})";
        const stored_object expected{"catalogue/a", 3, false, "{}"};
        for (const std::string odd : {R"({"name":5,"version":3})",
                                      R"({"name":"catalogue/b","version":"3"})",
                                      R"({"name":"catalogue/b","version":3,"value":{}})",
                                      R"({"name":"catalogue/b","version":3,"deleted":"no"})",
                                      R"({"version":3})",
                                      R"({"name":"c","version":3})",
                                      "7",
                                      "[]",
                                      "null"}) {
            section("the catalogue has the entry " + odd, [&] {
                result<object_listing> listing = fail(result_code::not_ready, "pending");
                const auto body =
                    concatenate({R"({"revision":9,"whole":true,"objects":[)", odd, ",", readable, "]}"});
                store->list("catalogue/", [&](const auto& received) { listing = received; });
                client.calls.back()->respond(200, {}, body);
                CPPUNIT_ASSERT(listing->is_snapshot);
                CPPUNIT_ASSERT(listing->objects == std::vector<stored_object>{expected});
                store->watch("catalogue/", 5, 100ms, [&](const auto& received) { listing = received; });
                client.calls.back()->respond(200, {}, body);
                CPPUNIT_ASSERT(listing->objects == std::vector<stored_object>{expected});
            });
        }
        for (const std::string odd :
             {R"({"host":5})", R"({"state":"leaving"})", R"({"host":""})", "7", "null"}) {
            section("the host list has the entry " + odd, [&] {
                result<std::vector<listed_host>> hosts = fail(result_code::not_ready, "pending");
                store->list_hosts([&](const auto& received) { hosts = received; });
                client.calls.back()->respond(
                    200,
                    {},
                    concatenate(
                        {R"({"hosts":[)", odd, R"(,{"host":"h","group":["x"],"state":"leaving"}]})"}));
                const std::vector<listed_host> others{{"h", "", "", host_state::leaving}};
                CPPUNIT_ASSERT(hosts.has_value());
                CPPUNIT_ASSERT(*hosts == others);
            });
        }
        section("a list is of another type: it cannot be read", [&] {
            for (const std::string body :
                 {R"({"revision":"9","objects":[]})", R"({"revision":9,"objects":{}})"}) {
                result<object_listing> listing = fail(result_code::not_ready, "pending");
                store->list("catalogue/", [&](const auto& received) { listing = received; });
                client.calls.back()->respond(200, {}, body);
                CPPUNIT_ASSERT(listing.error().code == result_code::store_answer_malformed);
            }
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(http_object_store_tests);

} // namespace

} // namespace tanager
