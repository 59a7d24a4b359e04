// Guards against gateways that end by themselves, or do not start, because of what others write or send.
#include "testing/section.h"
#include "tests/support/gateway_group.h"

namespace tanager::testing {

namespace {

class process_survival_tests : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(process_survival_tests);
    CPPUNIT_TEST(survives_entries_of_other_writers);
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
        for (const auto& [kind, members] : entries) {
            section("another writer adds to " + kind + ": " + members, [&] {
                const auto name = "other-" + std::to_string(++number);
                const auto body = R"({"metadata":{"name":")" + name + R"("},"spec":{)" + members + "}}";
                const auto created =
                    group.caller.fetch(group.store_address, {"POST", "/objects/" + kind, {}, body});
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
};

CPPUNIT_TEST_SUITE_REGISTRATION(process_survival_tests);

} // namespace

} // namespace tanager::testing
