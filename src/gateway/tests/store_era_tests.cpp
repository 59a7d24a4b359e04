// Tests what is in force when a store comes back from a copy. Guards against a fleet that is gone because a
// copy lacks its entries, and against a configuration that goes back.
#include "base/mocks/manual_clock.h"
#include "gateway/internal/configuration_observer.h"
#include "gateway/internal/server_observer.h"
#include "store/types/fencing_token.h"
#include "testing/section.h"

#include <cppunit/extensions/HelperMacros.h>

namespace tanager {

namespace {

using namespace std::chrono_literals;
using testing::section;

constexpr auto grace = 2s;

// The value of a configuration is its version; that of a server does not matter.
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

    result<route_table> decode_configuration(const stored_object& object) const override
    {
        route_table table;
        table.version = std::stoull(object.value);
        return table;
    }

    result<backend_server> decode_server(const stored_object& object) const override
    {
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
        listing.objects.push_back({"servers/" + id, revision, false, "{}"});
    }
    return listing;
}

object_listing list_configuration(std::uint64_t revision, const std::string& version)
{
    return {0, revision, true, {{"config/main", revision, false, version}}};
}

class store_era_tests : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(store_era_tests);
    CPPUNIT_TEST(keeps_servers_that_a_copy_lacks);
    CPPUNIT_TEST(keeps_the_configuration_that_a_copy_precedes);
    CPPUNIT_TEST_SUITE_END();

public:
    void keeps_servers_that_a_copy_lacks()
    {
        section("two servers are listed in era 1, and the copy of era 2 lacks both", [] {
            manual_clock time;
            const plain_codec codec;
            server_list servers(time, grace);
            server_observer observer(codec, servers);
            observer.on_listing(list_servers(fencing_token(1, 120), {"a", "b"}));
            time.advance(1min);
            observer.on_listing(list_servers(fencing_token(2, 100), {}));
            CPPUNIT_ASSERT_EQUAL(fencing_token(2, 100), observer.known_revision());
            section("they take requests until they had time to write their entries again", [&] {
                CPPUNIT_ASSERT(servers.takes_work("a") && servers.takes_work("b"));
                const object_listing written{fencing_token(2, 100),
                                             fencing_token(2, 101),
                                             false,
                                             {{"servers/a", fencing_token(2, 101), false, "{}"}}};
                observer.on_listing(written);
                time.advance(grace);
                servers.expire();
                CPPUNIT_ASSERT(servers.takes_work("a"));
                CPPUNIT_ASSERT(!servers.takes_work("b"));
            });
            section("a list in the same era removes them at once", [&] {
                observer.on_listing(list_servers(fencing_token(2, 110), {}));
                CPPUNIT_ASSERT(!servers.takes_work("a"));
            });
        });
    }

    void keeps_the_configuration_that_a_copy_precedes()
    {
        section("version 5 is in force, and the copy of era 2 has version 4", [] {
            const plain_codec codec;
            route_directory routes;
            configuration_observer observer(codec, routes);
            observer.on_listing(list_configuration(fencing_token(1, 120), "5"));
            observer.on_listing(list_configuration(fencing_token(2, 100), "4"));
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, routes.version());
            section("the watch goes on from the copy, and the next version is taken", [&] {
                CPPUNIT_ASSERT_EQUAL(fencing_token(2, 100), observer.known_revision());
                observer.on_listing(list_configuration(fencing_token(2, 101), "6"));
                CPPUNIT_ASSERT_EQUAL(std::uint64_t{6}, routes.version());
            });
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(store_era_tests);

} // namespace

} // namespace tanager
