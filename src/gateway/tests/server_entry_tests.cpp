// Tests what the list of servers in the store does to the servers in use. Guards against servers that are
// lost, or replaced, because of an entry of another writer.
#include "base/mocks/manual_clock.h"
#include "gateway/internal/server_observer.h"
#include "testing/section.h"

#include <cppunit/extensions/HelperMacros.h>

namespace tanager {

namespace {

using namespace std::chrono_literals;
using testing::section;

// An entry names a server if its value is `sound`.
class plain_codec final : public store_codec {
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

    result<route_table> decode_configuration(const stored_object& /*object*/) const override
    {
        return fail(result_code::configuration_invalid, "not part of this fake");
    }

    result<backend_server> decode_server(const stored_object& object) const override
    {
        if (object.value != "sound") {
            return fail(result_code::object_unknown, object.name);
        }
        backend_server server;
        server.id = object.name.substr(this->server_prefix().size());
        server.service = "desk";
        return server;
    }
};

object_listing list_servers(std::uint64_t revision, const std::vector<std::string>& ids)
{
    object_listing listing{0, revision, true, {}};
    for (const auto& id : ids) {
        listing.objects.push_back({"servers/" + id, revision, false, "sound"});
    }
    return listing;
}

class server_entry_tests : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(server_entry_tests);
    CPPUNIT_TEST(keeps_servers_that_an_incomplete_list_lacks);
    CPPUNIT_TEST(uses_no_entry_under_a_name_that_is_no_id);
    CPPUNIT_TEST_SUITE_END();

public:
    void keeps_servers_that_an_incomplete_list_lacks()
    {
        manual_clock time;
        const plain_codec codec;
        server_list servers(time, 2s);
        server_observer observer(codec, servers);
        section("the first list of a gateway is incomplete: what it holds is used", [&] {
            auto listing = list_servers(5, {"a", "b"});
            listing.is_incomplete = true;
            observer.on_listing(listing);
            CPPUNIT_ASSERT(observer.is_known());
            CPPUNIT_ASSERT(servers.takes_work("a") && servers.takes_work("b"));
        });
        section("a later one lacks a server, has another and an unusable entry", [&] {
            auto listing = list_servers(7, {"c"});
            listing.objects.push_back({"servers/b", 7, false, "unusable"});
            listing.is_incomplete = true;
            observer.on_listing(listing);
            CPPUNIT_ASSERT(servers.takes_work("a") && servers.takes_work("c"));
            CPPUNIT_ASSERT(!servers.takes_work("b"));
        });
        section("a complete list removes what it lacks", [&] {
            observer.on_listing(list_servers(8, {"c"}));
            CPPUNIT_ASSERT(!servers.takes_work("a"));
            CPPUNIT_ASSERT(servers.takes_work("c"));
        });
    }

    // Guards against a sound entry of another writer under a name that cannot stand in a header or a log.
    void uses_no_entry_under_a_name_that_is_no_id()
    {
        manual_clock time;
        const plain_codec codec;
        server_list servers(time, 2s);
        server_observer observer(codec, servers);
        const std::vector<std::string> names{"", "e0 ", "e0 b", "e0&b", "e0\r\nX: y", "e0\xFF", "e0/b"};
        section("sound entries stand under odd names in a list", [&] {
            auto listing = list_servers(5, names);
            listing.objects.push_back({"servers/e0", 5, false, "sound"});
            observer.on_listing(listing);
            CPPUNIT_ASSERT(servers.ids() == std::set<std::string>{"e0"});
        });
        const auto change = [&](std::uint64_t revision, bool is_deleted) {
            object_listing changes{revision - 1, revision, false, {}};
            for (const auto& name : names) {
                changes.objects.push_back({"servers/" + name, revision, is_deleted, "sound"});
            }
            observer.on_listing(changes);
        };
        section("they are written again, and removed", [&] {
            for (const bool is_deleted : {false, true}) {
                change(is_deleted ? 7 : 6, is_deleted);
                CPPUNIT_ASSERT(servers.ids() == std::set<std::string>{"e0"});
                CPPUNIT_ASSERT(servers.takes_work("e0"));
            }
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(server_entry_tests);

} // namespace

} // namespace tanager
