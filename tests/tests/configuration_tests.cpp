// How catalogue edits reach the processes, also with conflicting edits, store outages and restarts.
#include "testing/section.h"
#include "tests/support/test_cluster.h"

#include <cppunit/extensions/HelperMacros.h>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <unistd.h>

namespace tanager::testing {

namespace {

std::string work_json(int max_output_tokens)
{
    return R"({"owner":"midlands","class":"swatch","pool":"helper","idempotent":true,"max_output_tokens":)" +
           std::to_string(max_output_tokens) + "}";
}

// Waits until a process has applied a revision of the catalogue, or a newer one.
void wait_for_revision(test_cluster& cluster, const std::string& address, std::uint64_t revision)
{
    cluster.caller.poll_until(address, "/metrics", [&](const http_response& page) {
        return metric_value(page, "tanager_catalogue_revision") >= static_cast<double>(revision);
    });
}

} // namespace

class configuration_tests : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(configuration_tests);
    CPPUNIT_TEST(edits_reach_every_process);
    CPPUNIT_TEST(a_losing_edit_reports_the_winning_version);
    CPPUNIT_TEST(processes_serve_and_start_during_a_store_outage);
    CPPUNIT_TEST_SUITE_END();

public:
    void edits_reach_every_process()
    {
        test_cluster cluster;
        cluster.start_agents({{"m1", "helper", {}}, {"o1", "orders", {}}});
        cluster.start_entry("e1");
        cluster.start_entry("e2");
        std::uint64_t revision = 0;
        for (int edit = 1; edit <= 20; ++edit) {
            revision = cluster.put_catalogue_object("work/swatch", work_json(edit));
        }
        for (const auto& address : {cluster.entry_address("e1"),
                                    cluster.entry_address("e2"),
                                    cluster.agent_admin_address("m1"),
                                    cluster.agent_admin_address("o1")}) {
            wait_for_revision(cluster, address, revision);
        }
        for (const std::string entry : {"e1", "e2"}) {
            const auto address = cluster.entry_address(entry);
            CPPUNIT_ASSERT_EQUAL(
                400,
                cluster.caller.fetch(address, make_completion_request(midlands_key, "swatch", "x", 21, false))
                    .status);
            CPPUNIT_ASSERT_EQUAL(
                200,
                cluster.caller.fetch(address, make_completion_request(midlands_key, "swatch", "x", 20, false))
                    .status);
        }
        section("a deleted work entry is unknown to every entry process", [&] {
            const auto current =
                cluster.caller.get(cluster.platform_address(), "/v1/objects/catalogue/work/stock");
            const auto begin = current.body.find("\"version\":") + 10;
            cluster.caller.fetch(
                cluster.platform_address(),
                {"DELETE",
                 "/v1/objects/catalogue/work/stock?expected=" +
                     current.body.substr(begin, current.body.find_first_of(",}", begin) - begin),
                 {},
                 {}});
            for (const std::string entry : {"e1", "e2"}) {
                wait_for_revision(cluster, cluster.entry_address(entry), revision + 1);
                const auto response = cluster.caller.fetch(cluster.entry_address(entry),
                                                           make_service_request(midlands_key, "stock", "x"));
                CPPUNIT_ASSERT_EQUAL(std::string{"306"}, find_header(response.headers, "Tanager-Code"));
            }
        });
        cluster.check_invariants();
    }

    void a_losing_edit_reports_the_winning_version()
    {
        test_cluster cluster;
        const auto directory =
            std::filesystem::temp_directory_path() / ("tanager-race-" + std::to_string(getpid()));
        std::filesystem::create_directories(directory / "work");
        const std::string file = (directory / "work" / "swatch.json").string();
        const auto first_version = cluster.put_catalogue_object("work/swatch", work_json(1));
        const auto winning_version = cluster.put_catalogue_object("work/swatch", work_json(2));
        std::ofstream(file) << work_json(3);
        const std::vector<std::string> arguments{"--platform",
                                                 cluster.platform_address(),
                                                 "apply",
                                                 "--expect",
                                                 std::to_string(first_version),
                                                 file};
        child_process losing_edit("tanagerctl", arguments);
        CPPUNIT_ASSERT_EQUAL(5, losing_edit.wait());
        losing_edit.wait_for_line("another edit won as version " + std::to_string(winning_version));
        losing_edit.wait_for_line("+ /max_output_tokens: 2");
        section("the winning edit stays in the catalogue", [&] {
            const auto object =
                cluster.caller.get(cluster.platform_address(), "/v1/objects/catalogue/work/swatch");
            CPPUNIT_ASSERT(object.body.find("max_output_tokens\\\":2") != std::string::npos);
        });
        section("an edit whose response is lost is confirmed by reading the object back", [&] {
            cluster.caller.post(cluster.platform_address(), "/faults?lost_answer=1");
            child_process edit_command("tanagerctl",
                                       {"--platform", cluster.platform_address(), "apply", file});
            CPPUNIT_ASSERT_EQUAL(0, edit_command.wait());
        });
        section("an invalid file is rejected before anything is written", [&] {
            std::ofstream(file) << "{\"ownr\": 1}";
            child_process edit_command("tanagerctl",
                                       {"--platform", cluster.platform_address(), "apply", file});
            CPPUNIT_ASSERT_EQUAL(2, edit_command.wait());
            edit_command.wait_for_line("unknown field; did you mean 'owner'?");
        });
        std::filesystem::remove_all(directory);
    }

    void processes_serve_and_start_during_a_store_outage()
    {
        test_cluster cluster;
        // The second agent of the pool serves requests while the first is restarted.
        cluster.start_agents({{"m1", "helper", {}}, {"m2", "helper", {}}, {"o1", "orders", {}}});
        cluster.start_entry("e1");
        const auto revision = cluster.put_catalogue_object("work/swatch", work_json(50));
        for (const auto& address : {cluster.entry_address("e1"),
                                    cluster.agent_admin_address("m1"),
                                    cluster.agent_admin_address("o1")}) {
            wait_for_revision(cluster, address, revision);
        }
        for (const std::string fault : {"outage", "silent"}) {
            section(fault + " of the store", [&] {
                cluster.caller.post(cluster.platform_address(), "/faults?" + fault + "=1");
                const auto completion_status = [&](const std::string& entry) {
                    const auto request =
                        make_completion_request(midlands_key, "swatch", "in the dark", 50, false);
                    return cluster.caller.fetch(cluster.entry_address(entry), request).status;
                };
                CPPUNIT_ASSERT_EQUAL(200, completion_status("e1"));
                section("a new entry gets the catalogue from the agents", [&] {
                    cluster.start_entry("e-" + fault);
                    CPPUNIT_ASSERT_EQUAL(200, completion_status("e-" + fault));
                    CPPUNIT_ASSERT_EQUAL(
                        400,
                        cluster.caller
                            .fetch(cluster.entry_address("e-" + fault),
                                   make_completion_request(midlands_key, "swatch", "x", 51, false))
                            .status);
                });
                section("a new agent gets the catalogue from the entries", [&] {
                    cluster.restart_agent("m1", SIGKILL);
                    cluster.wait_until_ready(cluster.agent_admin_address("m1"));
                    wait_for_revision(cluster, cluster.agent_admin_address("m1"), revision);
                });
                cluster.caller.post(cluster.platform_address(), "/faults?" + fault + "=0");
            });
        }
        section("edits after the outage reach all processes, also those started during it", [&] {
            const auto newest_revision = cluster.put_catalogue_object("work/swatch", work_json(60));
            for (const auto& address : {cluster.entry_address("e1"),
                                        cluster.entry_address("e-outage"),
                                        cluster.entry_address("e-silent"),
                                        cluster.agent_admin_address("m1")}) {
                wait_for_revision(cluster, address, newest_revision);
            }
        });
        cluster.check_invariants();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(configuration_tests);

} // namespace tanager::testing
