// Guards against gateways that end by themselves, or do not start, because of what others write or send.
#include "testing/concatenate.h"
#include "testing/section.h"
#include "tests/support/gateway_group.h"
#include "tests/support/raw_tcp_client.h"

namespace tanager::testing {

namespace {

// The settings that the platform renders from the template of the deploy file. A missing value is empty.
class rendered_settings {
public:
    rendered_settings(const std::string& store_address, const std::map<std::string, std::string>& changes)
        : path((std::filesystem::temp_directory_path() / "tanager-rendered-XXXXXX").string())
    {
        std::map<std::string, std::string> values{{"nodeName", "g1"},
                                                  {"zone", "here"},
                                                  {"region", "r"},
                                                  {"limits.linkMbps", "1000.0"},
                                                  {"limits.maxFds", "4100"},
                                                  {"limits.memoryMb", "260"},
                                                  {"bounds.graceS", "8"},
                                                  {"bounds.leaseMs", "3000"},
                                                  {"listen.front", "127.0.0.1:0"},
                                                  {"listen.ready", "127.0.0.1:0"},
                                                  {"ip", "127.0.0.1"},
                                                  {"internalPorts.0", "0"},
                                                  {"platform.address", store_address}};
        for (const auto& [name, value] : changes) {
            values[name] = value;
        }
        std::ifstream file(TANAGER_GATEWAY_TEMPLATE);
        std::string text{std::istreambuf_iterator<char>(file), {}};
        for (auto open = text.find("{{"); open != std::string::npos; open = text.find("{{")) {
            const auto close = text.find("}}", open);
            text.replace(open, close + 2 - open, values[text.substr(open + 2, close - open - 2)]);
        }
        ::close(mkstemp(this->path.data()));
        std::ofstream(this->path) << text;
    }

    ~rendered_settings()
    {
        std::filesystem::remove(this->path);
    }

    rendered_settings(const rendered_settings&) = delete;
    rendered_settings& operator=(const rendered_settings&) = delete;
    rendered_settings(rendered_settings&&) = delete;
    rendered_settings& operator=(rendered_settings&&) = delete;

    std::string path;
};

class process_survival_tests : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(process_survival_tests);
    CPPUNIT_TEST(survives_entries_of_other_writers);
    CPPUNIT_TEST(starts_with_all_values_that_the_platform_may_set);
    CPPUNIT_TEST(waits_for_the_addresses_of_its_predecessor);
    CPPUNIT_TEST(stays_within_its_memory);
    CPPUNIT_TEST_SUITE_END();

public:
    void survives_entries_of_other_writers()
    {
        gateway_group group(1);
        group.wait_until_serving(2);
        const std::vector<std::pair<std::string, std::string>> entries{
            {"gateways", R"("address":5)"},
            {"gateways", R"("address":null)"},
            {"gateways", R"("address":"127.0.0.1:9","data_centre":["here"])"},
            {"gateways", R"("address":{"host":"127.0.0.1"})"},
            {"servers", R"("service":"desk","address":7,"slots":"many","state":"ready")"},
            {"servers", R"("service":"desk","address":"127.0.0.1:9","slots":-1.5e300,"state":["ready"])"},
            {"config", R"("version":"two","routes":{"a":1},"services":7)"},
        };
        int number = 0;
        for (const auto& entry : entries) {
            section(concatenate({"another writer adds to ", entry.first, ": ", entry.second}), [&] {
                const auto name = "other-" + std::to_string(++number);
                const auto body =
                    concatenate({R"({"metadata":{"name":")", name, R"("},"spec":{)", entry.second, "}}"});
                const auto created =
                    group.caller.fetch(group.store_address, {"POST", "/objects/" + entry.first, {}, body});
                CPPUNIT_ASSERT(created.status < 300);
                // A change that is written later is applied after the entry.
                group.apply_configuration(number + 1);
                group.wait_for_configuration(number + 1);
                CPPUNIT_ASSERT_EQUAL(200, group.fetch_status("g0"));
            });
        }
        section("a gateway that starts while the entries stand serves", [&] {
            group.start("g1");
            group.wait_until_serving(2);
            CPPUNIT_ASSERT_EQUAL(200, group.fetch_status("g1"));
        });
    }

    // Guards against bounds and limits that the platform may set and that keep every gateway from starting.
    void starts_with_all_values_that_the_platform_may_set()
    {
        child_process site("standin-site", {});
        const auto store_address = site.address("http");
        const std::vector<std::pair<std::string, std::vector<std::string>>> values{
            {"bounds.graceS", {"8", "8.0", "8.5", "0.25", "", "true"}},
            {"bounds.leaseMs", {"3000", "2500.5", "2.5e3", "", "false"}},
            {"bounds.retryBudgetRatio", {"0.2", "0", "1", "2e-1", "2", "", "true"}},
            {"bounds.retrySlack", {"54", "54.5", "0", "", "false"}},
            {"bounds.budgetWindowS", {"10", "2.5", "0", "", "true"}},
            {"bounds.revokeMs", {"5000", "2500.5", "0", "", "false"}},
            {"limits.maxFds", {"1024", "1048576", "1073741816", "", "4100.0"}},
            {"limits.memoryMb", {"160", "260.5", "1048576", ""}},
            {"limits.linkMbps", {"10", "1000.0", "8800000.0", "1e7", ""}},
            {"zone", {""}},
            {"region", {""}},
        };
        for (const auto& value : values) {
            for (const auto& text : value.second) {
                section(concatenate({value.first, " is '", text, "'"}), [&] {
                    const rendered_settings settings(store_address, {{value.first, text}});
                    child_process gateway("tanager-gateway", {"--config", settings.path});
                    gateway.wait_for_line("program_listening");
                });
            }
        }
        section("a required value is missing or wrong: the program does not start", [&] {
            const std::vector<std::pair<std::string, std::string>> essential{{"nodeName", ""},
                                                                             {"listen.front", ""},
                                                                             {"listen.ready", "here"},
                                                                             {"platform.address", "x:y"}};
            for (const auto& [name, text] : essential) {
                const rendered_settings settings(store_address, {{name, text}});
                child_process gateway("tanager-gateway", {"--config", settings.path});
                CPPUNIT_ASSERT_EQUAL(3, gateway.wait());
            }
        });
        section("the check of the settings still reports what the program would pass over", [&] {
            const rendered_settings settings(store_address, {{"bounds.graceS", "soon"}});
            child_process check("tanager-gateway", {"--check-config", "--config", settings.path});
            CPPUNIT_ASSERT_EQUAL(3, check.wait());
            check.wait_for_line("stop_grace_seconds: 'soon' is not a number");
        });
    }

    // Guards against a restart that overlaps with the end of the process before: the new process met
    // addresses in use and ended.
    void waits_for_the_addresses_of_its_predecessor()
    {
        child_process site("standin-site", {});
        const auto store_address = site.address("http");
        test_client caller;
        const rendered_settings any_ports(store_address, {});
        std::map<std::string, std::string> addresses;
        {
            child_process first("tanager-gateway", {"--config", any_ports.path});
            addresses = {{"listen.front", first.address("http")}, {"listen.ready", first.address("pages")}};
        }
        const rendered_settings settings(store_address, addresses);
        child_process predecessor("tanager-gateway", {"--config", settings.path});
        predecessor.wait_for_line("program_listening");
        child_process successor("tanager-gateway", {"--config", settings.path});
        section("the successor waits while the predecessor runs", [&] {
            successor.wait_for_line("address_in_use");
            CPPUNIT_ASSERT(successor.is_running());
        });
        section("it listens as soon as the predecessor has ended", [&] {
            predecessor.send_signal(SIGTERM);
            CPPUNIT_ASSERT_EQUAL(0, predecessor.wait());
            successor.wait_for_line("program_listening");
            caller.poll_until(addresses.at("listen.ready"), "/ready", [](const http_response& response) {
                return response.status == 200;
            });
        });
        section("a process that is told to stop while it waits ends at once", [&] {
            child_process third("tanager-gateway", {"--config", settings.path});
            third.wait_for_line("address_in_use");
            third.send_signal(SIGTERM);
            CPPUNIT_ASSERT_EQUAL(4, third.wait());
        });
    }

    // Guards against callers that send long bodies without their end: 80 of them held 320 MB, and the
    // platform kills a process that exceeds its memory.
    void stays_within_its_memory()
    {
        child_process site("standin-site", {});
        const rendered_settings settings(site.address("http"), {{"limits.memoryMb", "160"}});
        child_process gateway("tanager-gateway", {"--config", settings.path});
        const auto address = gateway.address("http");
        const auto admin_address = gateway.address("pages");
        test_client caller;
        caller.poll_until(
            admin_address, "/ready", [](const http_response& page) { return page.status == 200; });
        const std::string body(3'900'000, 'x');
        std::vector<std::unique_ptr<raw_tcp_client>> stalled;
        for (int count = 0; count < 80; ++count) {
            stalled.push_back(std::make_unique<raw_tcp_client>(address));
            stalled.back()->send(
                "POST /order/1 HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 4000000\r\n\r\n" + body);
        }
        section("the process stays within its 160 MB", [&] {
            const auto page = caller.get(admin_address, "/metrics");
            CPPUNIT_ASSERT(metric_value(page, "process_resident_memory_bytes") < 160e6);
            section("and serves other callers", [&] {
                const http_request order{
                    "POST",
                    "/order/2",
                    {{"Host", "shop.example"}, {"Attempt-Id", "r1"}, {"Deadline-Ms", "5000"}},
                    std::string(100'000, 'y')};
                CPPUNIT_ASSERT_EQUAL(200, caller.fetch(address, order).status);
            });
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(process_survival_tests);

} // namespace

} // namespace tanager::testing
