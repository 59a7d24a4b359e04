// Gateways as real processes beside a store that comes back from a copy some seconds old.
#include "testing/section.h"
#include "tests/support/gateway_group.h"

#include <algorithm>
#include <chrono>
#include <cppunit/extensions/HelperMacros.h>
#include <iterator>
#include <set>

namespace tanager::testing {

namespace {

constexpr int status_ok = 200;
constexpr int status_not_found = 404;

class restored_site {
public:
    restored_site() : group(3, {"--timeout-ms", "5000", "--era", "1"}), addresses(group.wait_until_serving(2))
    {
    }

    nlohmann::json read(const std::string& name)
    {
        return nlohmann::json::parse(
            this->group.caller.get(this->group.store_address, "/objects/" + name).body, nullptr, false);
    }

    // Removes a route with the next version of the configuration.
    void remove_route(const std::string& name, int version)
    {
        auto object = this->read("config/main");
        object["spec"]["version"] = version;
        auto kept = nlohmann::json::array();
        std::ranges::copy_if(object["spec"]["routes"], std::back_inserter(kept), [&](const auto& route) {
            return route["name"] != name;
        });
        object["spec"]["routes"] = kept;
        const http_request request{"PUT", "/objects/config/main", {}, object.dump()};
        CPPUNIT_ASSERT_EQUAL(status_ok, this->group.caller.fetch(this->group.store_address, request).status);
        this->group.wait_for_configuration(version);
    }

    // Raises the revision of the store by writes that the gateways do not read.
    void write_elsewhere(int count)
    {
        for (int index = 0; index < count; ++index) {
            const nlohmann::json body{{"metadata", {{"name", std::to_string(index)}}}, {"spec", {{"a", 1}}}};
            this->group.caller.post(this->group.store_address, "/objects/other", body.dump());
        }
    }

    int fetch(const std::string& address, const std::string& route)
    {
        const http_request request{"POST",
                                   "/" + route + "/1",
                                   {{"Host", "shop.example"},
                                    {"Attempt-Id", "e" + std::to_string(++this->last_request_number)},
                                    {"Deadline-Ms", "5000"}},
                                   "x"};
        return this->group.caller.fetch(address, request).status;
    }

    // Takes the store back to the state of `since`, in its next era.
    void restore(std::chrono::steady_clock::time_point since)
    {
        const auto age =
            std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - since);
        this->group.caller.post(this->group.store_address,
                                "/faults?restore_ms=" + std::to_string(age.count()));
    }

    bool all_know_era(int era)
    {
        return std::ranges::all_of(this->group.members, [&](const auto& member) {
            return this->group.metric(member.first, "tanager_store_era") == era;
        });
    }

    std::set<std::string> listed_gateways()
    {
        std::set<std::string> names;
        const auto listing = this->read("gateways");
        for (const auto& item : listing.is_object() ? listing["items"] : nlohmann::json::array()) {
            names.insert(item["metadata"]["name"].get<std::string>());
        }
        return names;
    }

    gateway_group group;
    std::vector<std::string> addresses;

private:
    std::uint64_t last_request_number = 0;
};

class store_restore_tests : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(store_restore_tests);
    CPPUNIT_TEST(serves_over_a_return_from_a_copy);
    CPPUNIT_TEST(registers_again_in_a_new_era);
    CPPUNIT_TEST_SUITE_END();

public:
    void serves_over_a_return_from_a_copy()
    {
        section("a route is removed, and the store comes back from a copy that has it", [] {
            restored_site site;
            const auto copied_at = std::chrono::steady_clock::now();
            site.remove_route("read", 5);
            site.write_elsewhere(40);
            const auto known_revision = site.read("config")["storeRevision"].get<std::uint64_t>();
            site.restore(copied_at);
            section("every request is served until all gateways know the new era, and after it", [&] {
                do {
                    for (const auto& address : site.addresses) {
                        CPPUNIT_ASSERT_EQUAL(status_ok, site.fetch(address, "order"));
                        CPPUNIT_ASSERT_EQUAL(status_not_found, site.fetch(address, "read"));
                    }
                } while (!site.all_know_era(2));
            });
            section("the operator's object is written again; the next configuration is in force, though its "
                    "revision is lower than the one known before",
                    [&] {
                        while (site.read("config/main")["spec"].value("version", 0) != 5) {
                        }
                        site.remove_route("stream", 6);
                        CPPUNIT_ASSERT(site.read("config/main")["metadata"]["revision"].get<std::uint64_t>() <
                                       known_revision);
                        for (const auto& address : site.addresses) {
                            CPPUNIT_ASSERT_EQUAL(status_ok, site.fetch(address, "order"));
                            CPPUNIT_ASSERT_EQUAL(status_not_found, site.fetch(address, "read"));
                            CPPUNIT_ASSERT_EQUAL(status_not_found, site.fetch(address, "stream"));
                        }
                    });
        });
    }

    void registers_again_in_a_new_era()
    {
        section("a gateway has registered after the copy was made", [] {
            restored_site site;
            const auto copied_at = std::chrono::steady_clock::now();
            site.group.start("late");
            site.group.wait_until_serving(2);
            site.restore(copied_at);
            section("its entry is in the store again, and all hear of each other", [&] {
                while (!site.all_know_era(2) || !site.listed_gateways().contains("late")) {
                }
                CPPUNIT_ASSERT_EQUAL(std::size_t{4}, site.listed_gateways().size());
                site.group.wait_until_serving(2);
            });
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(store_restore_tests);

} // namespace

} // namespace tanager::testing
