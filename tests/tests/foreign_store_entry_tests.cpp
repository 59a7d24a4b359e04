// Gateways as real processes beside a store that holds entries of another writer and sends its lists in
// pages. Guards against an entry whose name cannot be put into a request as it is: the list that goes on
// after it did not end, and the gateway had no configuration and no servers.
#include "net/uri.h"
#include "testing/concatenate.h"
#include "testing/section.h"
#include "tests/support/gateway_group.h"

#include <cppunit/extensions/HelperMacros.h>

namespace tanager::testing {

namespace {

constexpr int status_ok = 200;
constexpr int status_unavailable = 503;
constexpr int server_count = 4;
constexpr int byte_count = 256;

using named_bytes = std::pair<std::string, std::string>;

std::string request_in_a_name()
{
    return "e0a HTTP/1.1\r\nHost: x\r\n\r\nDELETE /objects/servers/e0 HTTP/1.1\r\nHost: x\r\n\r\n";
}

// Names by what they hold.
std::vector<named_bytes> odd_names()
{
    return {{"nothing", ""},
            {"an ampersand", "e1&b"},
            {"an ampersand at the end", "e1&"},
            {"a plus sign", "e1+b"},
            {"a number sign", "e1#b"},
            {"a blank", "e1 b"},
            {"a blank at the end", "e1 "},
            {"a tab", "e1\tb"},
            {"a zero byte", std::string{"e1\0b", 4}},
            {"a letter outside ASCII", "e1\xC3\xA9"},
            {"a parameter", "e1=b&watch=1"},
            {"a header", "e1\r\nX-Other: 1"},
            {"a request", request_in_a_name()},
            {"an encoded letter", "e%7A"},
            {"a byte that is no UTF-8", "e1\xFF"},
            {"half a surrogate pair", "e1\xED\xA0\x80"},
            {"digits, sent as a number", "17"},
            {"a slash and a question mark", "e1/b?c"},
            {"quotes and a backslash", R"(e1"b\)"},
            {"8,000 ampersands", std::string(8'000, '&')}};
}

// A store with four servers, which sends one entry a page.
class paged_site {
public:
    paged_site() : group(0, {"--timeout-ms", "5000", "--servers", "4", "--prefix", "e"})
    {
        this->group.caller.post(this->group.store_address, "/faults?page_size=1&numeric_names=1");
    }

    int write(const std::string& kind, const std::string& name, const nlohmann::json& spec)
    {
        return this->call(
            "PUT", kind, name, nlohmann::json{{"metadata", nlohmann::json::object()}, {"spec", spec}}.dump());
    }

    void remove(const std::string& kind, const std::string& name)
    {
        this->call("DELETE", kind, name, {});
    }

    nlohmann::json read(const std::string& name)
    {
        return nlohmann::json::parse(
            this->group.caller.get(this->group.store_address, "/objects/" + name).body, nullptr, false);
    }

    // Starts gateways, waits until they are ready and know all servers and each other, and sends requests to
    // each.
    void assert_served_by(const std::vector<std::string>& hosts)
    {
        for (const auto& host : hosts) {
            this->group.start(host);
        }
        this->group.wait_until_serving(server_count);
        for (const auto& host : hosts) {
            this->group.caller.poll_until(this->group.members.at(host).admin_address,
                                          "/ready",
                                          [](const http_response& page) { return page.status == status_ok; });
            for (int count = 0; count < 2 * server_count; ++count) {
                CPPUNIT_ASSERT_EQUAL(status_ok, this->group.fetch_status(host));
            }
        }
    }

    gateway_group group;

private:
    int call(const std::string& method, const std::string& kind, const std::string& name, std::string body)
    {
        const auto path = concatenate({"/objects/", kind, "/", encode_uri_component(name)});
        return this->group.caller.fetch(this->group.store_address, {method, path, {}, std::move(body)})
            .status;
    }
};

class foreign_store_entry_tests : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(foreign_store_entry_tests);
    CPPUNIT_TEST(serves_beside_a_server_entry_of_any_name);
    CPPUNIT_TEST(serves_beside_an_entry_of_any_name_in_other_kinds);
    CPPUNIT_TEST(sends_nothing_to_a_server_of_no_usable_name);
    CPPUNIT_TEST(passes_changes_on_beside_entries_of_any_name);
    CPPUNIT_TEST(names_what_it_does_not_know);
    CPPUNIT_TEST_SUITE_END();

public:
    void serves_beside_a_server_entry_of_any_name()
    {
        paged_site site;
        const auto spec = site.read("servers/e0")["spec"];
        for (const auto& [content, name] : odd_names()) {
            section(concatenate({"the name of an entry holds ", content}), [&, name = name] {
                CPPUNIT_ASSERT_EQUAL(status_ok, site.write("servers", name, {{"of", "another writer"}}));
                site.assert_served_by({"g0"});
                CPPUNIT_ASSERT(site.read("servers/e0")["spec"] == spec);
                site.group.kill("g0");
                site.remove("servers", name);
            });
        }
        section("the names of 256 entries hold each byte once", [&] {
            for (int byte = 0; byte < byte_count; ++byte) {
                site.write("servers", "e1" + std::string(1, static_cast<char>(byte)), nullptr);
            }
            site.assert_served_by({"g0"});
        });
    }

    void serves_beside_an_entry_of_any_name_in_other_kinds()
    {
        paged_site site;
        for (const std::string kind : {"config", "gateways", "quarantines"}) {
            section(concatenate({"the names of entries under ", kind, " hold any bytes"}), [&] {
                for (const auto& odd : odd_names()) {
                    CPPUNIT_ASSERT_EQUAL(status_ok, site.write(kind, odd.second, {{"of", "another writer"}}));
                }
                section("two gateways serve, and know of each other", [&] {
                    site.assert_served_by({"g0", "g1"});
                    site.group.kill("g0");
                    site.group.kill("g1");
                });
            });
        }
    }

    void sends_nothing_to_a_server_of_no_usable_name()
    {
        paged_site site;
        const auto spec = site.read("servers/e0")["spec"];
        const std::vector<std::string> names{"e1 b", "e1&b", "e1/b", "e1\xFF", "e1\r\nX-Other: 1"};
        section("sound entries under such names stand in the list, with the address of a server", [&] {
            for (const auto& name : names) {
                CPPUNIT_ASSERT_EQUAL(status_ok, site.write("servers", name, spec));
            }
            site.assert_served_by({"g0"});
        });
        section("they arrive while the gateway serves", [&] {
            for (const auto& name : names) {
                site.write("servers", name + "2", spec);
            }
            auto& gateway = *site.group.members.at("g0").process;
            gateway.wait_for_line(R"(server_entry_invalid server="servers/e1 b2")");
            CPPUNIT_ASSERT_EQUAL(static_cast<double>(server_count),
                                 site.group.metric("g0", "tanager_servers_taking_work"));
            CPPUNIT_ASSERT(gateway.matching_lines("server=\"e1 b").empty());
        });
    }

    // Two of three gateways watch the store and pass on what changes.
    void passes_changes_on_beside_entries_of_any_name()
    {
        paged_site site;
        site.assert_served_by({"g0", "g1", "g2"});
        site.group.wait_for_election();
        for (const std::string kind : {"servers", "config", "gateways", "quarantines"}) {
            section(concatenate({"entries of any name are written under ", kind, ", and removed"}), [&] {
                for (const auto& odd : odd_names()) {
                    site.write(kind, odd.second, {{"of", "another writer"}});
                }
                for (const auto& odd : odd_names()) {
                    site.remove(kind, odd.second);
                }
            });
        }
        section("the next configuration is in force on all gateways, and all serve", [&] {
            site.group.apply_configuration(2);
            site.group.wait_for_configuration(2);
            for (const std::string host : {"g0", "g1", "g2"}) {
                CPPUNIT_ASSERT_EQUAL(status_ok, site.group.fetch_status(host));
                CPPUNIT_ASSERT_EQUAL(2.0, site.group.metric(host, "tanager_peers_heard"));
                CPPUNIT_ASSERT_EQUAL(static_cast<double>(server_count),
                                     site.group.metric(host, "tanager_servers_taking_work"));
            }
        });
        section("what the metrics show does not grow with the entries", [&] {
            const auto page = site.group.caller.get(site.group.members.at("g0").admin_address, "/metrics");
            CPPUNIT_ASSERT(page.body.find("e1") == std::string::npos);
        });
    }

    void names_what_it_does_not_know()
    {
        paged_site site;
        site.group.caller.post(site.group.store_address, "/faults?unreadable_servers=1");
        site.group.start("g0");
        section("the list of servers cannot be read: the configuration is known, and the log names the list",
                [&] {
                    site.group.wait_for_configuration(1);
                    auto& gateway = *site.group.members.at("g0").process;
                    gateway.wait_for_line("malformed page of servers/");
                    CPPUNIT_ASSERT_EQUAL(status_unavailable, site.group.fetch_status("g0"));
                    gateway.wait_for_line("cause=\"no list of servers is known yet\"");
                });
        section("it can be read again", [&] {
            site.group.caller.post(site.group.store_address, "/faults?unreadable_servers=0");
            site.group.wait_until_serving(server_count);
            CPPUNIT_ASSERT_EQUAL(status_ok, site.group.fetch_status("g0"));
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(foreign_store_entry_tests);

} // namespace

} // namespace tanager::testing
