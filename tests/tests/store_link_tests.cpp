// Gateways as real processes behind links of a limited rate to the store, whose watches return every version
// of a large configuration.
#include "testing/section.h"
#include "tests/support/gateway_group.h"

#include <chrono>
#include <cppunit/extensions/HelperMacros.h>
#include <csignal>

namespace tanager::testing {

namespace {

using namespace std::chrono_literals;

constexpr int status_ok = 200;
// From the return of the link on, as the users' pages have it for a gateway that is in touch with the store.
constexpr auto max_catch_up_time = 4s;

// Two gateways of one data centre; the link of `g-slow` to the store can be limited.
class store_link_scenario {
public:
    explicit store_link_scenario(int added_routes)
        : proxy("standin-proxy", {"--target", group.store_address}), added_routes(added_routes)
    {
        this->post_to_store("every_version=1");
        this->change_configuration();
        this->group.set_store_address("g-slow", this->proxy.address("proxy"));
        this->group.start("g-slow");
        this->group.start("g-other");
        this->group.wait_for_configuration(this->version);
        this->group.wait_until_serving(2);
    }

    void set_link(const std::string& faults)
    {
        CPPUNIT_ASSERT_EQUAL(
            status_ok, this->group.caller.post(this->proxy.address("http"), "/faults?" + faults).status);
    }

    void post_to_store(const std::string& faults)
    {
        CPPUNIT_ASSERT_EQUAL(status_ok,
                             this->group.caller.post(this->group.store_address, "/faults?" + faults).status);
    }

    // Applies the next version, with `added_routes` routes more than the first configuration has.
    void change_configuration()
    {
        this->group.apply_configuration(++this->version, [this](nlohmann::json& configuration) {
            auto added = configuration["routes"][1];
            configuration["routes"].get_ref<nlohmann::json::array_t&>().resize(3);
            for (int number = 0; number < this->added_routes; ++number) {
                added["name"] = "added-" + std::to_string(number);
                added["pathPrefix"] = "/added-" + std::to_string(number) + "/";
                configuration["routes"].push_back(added);
            }
        });
    }

    std::size_t configuration_bytes()
    {
        return this->group.caller.get(this->group.store_address, "/objects/config/main").body.size();
    }

    // Waits until a gateway has the newest configuration, and returns how long that took.
    duration wait_for_newest(const std::string& host)
    {
        const auto started_at = std::chrono::steady_clock::now();
        this->group.wait_for_metric(host, "tanager_configuration_version", this->version);
        return std::chrono::steady_clock::now() - started_at;
    }

    gateway_group group{0};
    child_process proxy;

private:
    int added_routes;
    int version = 1;
};

class store_link_tests : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(store_link_tests);
    CPPUNIT_TEST(catches_up_over_a_slow_link);
    CPPUNIT_TEST(catches_up_with_more_than_a_call_may_read);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a gateway that goes on with an old configuration because its link carries what it has
    // missed more slowly than one call may last (review case 12).
    void catches_up_over_a_slow_link()
    {
        section("a gateway is cut off from the store while a large configuration changes twice", [] {
            constexpr int routes = 1'700;
            constexpr std::size_t bytes_per_second = 280'000;
            store_link_scenario scenario(routes);
            // More than a call without progress may last, and less than is too long for a watch.
            CPPUNIT_ASSERT(2 * scenario.configuration_bytes() > 2 * bytes_per_second);
            CPPUNIT_ASSERT(2 * scenario.configuration_bytes() < std::size_t{640} * 1024);
            scenario.set_link("cut=1");
            for (int change = 0; change < 2; ++change) {
                scenario.change_configuration();
            }
            scenario.wait_for_newest("g-other");
            section("it has the newest version soon after its link is back, though that is slow", [&] {
                scenario.set_link("cut=0&bytes_per_second=" + std::to_string(bytes_per_second));
                CPPUNIT_ASSERT(scenario.wait_for_newest("g-slow") <= max_catch_up_time);
            });
        });
    }

    // Guards against a gateway that goes on with an old configuration because the versions that it has missed
    // are longer together than what one call may read (review case 13). A link of 10 Mbit/s carries one of
    // them in less than a second, and all nine in more than seven.
    void catches_up_with_more_than_a_call_may_read()
    {
        constexpr int routes = 5'500;
        for (const std::string rate : {"0", "1250000"}) {
            section("a configuration of 1 MB changes nine times meanwhile, bytes a second: " + rate, [&] {
                store_link_scenario scenario(routes);
                CPPUNIT_ASSERT(9 * scenario.configuration_bytes() > std::size_t{8} * 1024 * 1024);
                scenario.set_link("cut=1");
                for (int change = 0; change < 9; ++change) {
                    scenario.change_configuration();
                }
                scenario.wait_for_newest("g-other");
                scenario.set_link("cut=0&bytes_per_second=" + rate);
                section("it has the newest version as soon as its link can carry that one",
                        [&] { CPPUNIT_ASSERT(scenario.wait_for_newest("g-slow") <= max_catch_up_time); });
            });
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(store_link_tests);

} // namespace

} // namespace tanager::testing
