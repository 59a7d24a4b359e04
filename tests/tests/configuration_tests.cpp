// The catalogue under edits, races, outages and restarts.
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

// Waits until a process shows a revision of the catalogue, or a newer one.
void wait_for_revision(test_cluster& place, const std::string& address, std::uint64_t revision)
{
    place.caller.poll_until(address, "/metrics", [&](const http_response& page) {
        return metric_value(page, "tanager_catalogue_revision") >= static_cast<double>(revision);
    });
}

} // namespace

class configuration_tests : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(configuration_tests);
    CPPUNIT_TEST(edits_reach_every_process);
    CPPUNIT_TEST(the_loser_of_a_race_sees_what_won);
    CPPUNIT_TEST(an_outage_of_the_store_stops_nothing);
    CPPUNIT_TEST_SUITE_END();

public:
    void edits_reach_every_process()
    {
        test_cluster place;
        place.start_agents({{"m1", "helper", {}}, {"o1", "orders", {}}});
        place.start_entry("e1");
        place.start_entry("e2");
        std::uint64_t revision = 0;
        for (int edit = 1; edit <= 20; ++edit) {
            revision = place.put_catalogue_object("work/swatch", work_json(edit));
        }
        for (const auto& address : {place.entry_address("e1"),
                                    place.entry_address("e2"),
                                    place.agent_admin_address("m1"),
                                    place.agent_admin_address("o1")}) {
            wait_for_revision(place, address, revision);
        }
        for (const std::string entry : {"e1", "e2"}) {
            const auto address = place.entry_address(entry);
            CPPUNIT_ASSERT_EQUAL(
                400,
                place.caller.fetch(address, make_completion_request(midlands_key, "swatch", "x", 21, false))
                    .status);
            CPPUNIT_ASSERT_EQUAL(
                200,
                place.caller.fetch(address, make_completion_request(midlands_key, "swatch", "x", 20, false))
                    .status);
        }
        section("an entry that is withdrawn is gone everywhere", [&] {
            const auto standing =
                place.caller.get(place.platform_address(), "/v1/objects/catalogue/work/stock");
            const auto begin = standing.body.find("\"version\":") + 10;
            place.caller.fetch(
                place.platform_address(),
                {"DELETE",
                 "/v1/objects/catalogue/work/stock?expected=" +
                     standing.body.substr(begin, standing.body.find_first_of(",}", begin) - begin),
                 {},
                 {}});
            for (const std::string entry : {"e1", "e2"}) {
                wait_for_revision(place, place.entry_address(entry), revision + 1);
                const auto reply = place.caller.fetch(place.entry_address(entry),
                                                      make_service_request(midlands_key, "stock", "x"));
                CPPUNIT_ASSERT_EQUAL(std::string{"306"}, find_header(reply.headers, "Tanager-Code"));
            }
        });
        place.check_invariants();
    }

    void the_loser_of_a_race_sees_what_won()
    {
        test_cluster place;
        const auto folder =
            std::filesystem::temp_directory_path() / ("tanager-race-" + std::to_string(getpid()));
        std::filesystem::create_directories(folder / "work");
        const std::string file = (folder / "work" / "swatch.json").string();
        const auto standing = place.put_catalogue_object("work/swatch", work_json(1));
        const auto winner = place.put_catalogue_object("work/swatch", work_json(2));
        std::ofstream(file) << work_json(3);
        const std::vector<std::string> arguments{
            "--platform", place.platform_address(), "apply", "--expect", std::to_string(standing), file};
        child_process loser("tanagerctl", arguments);
        CPPUNIT_ASSERT_EQUAL(5, loser.wait());
        loser.wait_for_line("another edit won as version " + std::to_string(winner));
        loser.wait_for_line("+ /max_output_tokens: 2");
        section("and the winner stands", [&] {
            const auto object =
                place.caller.get(place.platform_address(), "/v1/objects/catalogue/work/swatch");
            CPPUNIT_ASSERT(object.body.find("max_output_tokens\\\":2") != std::string::npos);
        });
        section("a lost answer is settled by reading back", [&] {
            place.caller.post(place.platform_address(), "/faults?lost_answer=1");
            child_process writer("tanagerctl", {"--platform", place.platform_address(), "apply", file});
            CPPUNIT_ASSERT_EQUAL(0, writer.wait());
        });
        section("a broken file is refused before anything is written", [&] {
            std::ofstream(file) << "{\"ownr\": 1}";
            child_process writer("tanagerctl", {"--platform", place.platform_address(), "apply", file});
            CPPUNIT_ASSERT_EQUAL(2, writer.wait());
            writer.wait_for_line("unknown field; did you mean 'owner'?");
        });
        std::filesystem::remove_all(folder);
    }

    void an_outage_of_the_store_stops_nothing()
    {
        test_cluster place;
        // While one agent is replaced, the other keeps the pool in service.
        place.start_agents({{"m1", "helper", {}}, {"m2", "helper", {}}, {"o1", "orders", {}}});
        place.start_entry("e1");
        const auto revision = place.put_catalogue_object("work/swatch", work_json(50));
        for (const auto& address :
             {place.entry_address("e1"), place.agent_admin_address("m1"), place.agent_admin_address("o1")}) {
            wait_for_revision(place, address, revision);
        }
        for (const std::string fault : {"outage", "silent"}) {
            section(fault + " of the store", [&] {
                place.caller.post(place.platform_address(), "/faults?" + fault + "=1");
                const auto serves = [&](const std::string& entry) {
                    const auto request =
                        make_completion_request(midlands_key, "swatch", "in the dark", 50, false);
                    return place.caller.fetch(place.entry_address(entry), request).status;
                };
                CPPUNIT_ASSERT_EQUAL(200, serves("e1"));
                section("a new entry learns the catalogue from the agents", [&] {
                    place.start_entry("e-" + fault);
                    CPPUNIT_ASSERT_EQUAL(200, serves("e-" + fault));
                    CPPUNIT_ASSERT_EQUAL(
                        400,
                        place.caller
                            .fetch(place.entry_address("e-" + fault),
                                   make_completion_request(midlands_key, "swatch", "x", 51, false))
                            .status);
                });
                section("a new agent learns it from the entries", [&] {
                    place.restart_agent("m1", SIGKILL);
                    place.wait_until_ready(place.agent_admin_address("m1"));
                    wait_for_revision(place, place.agent_admin_address("m1"), revision);
                });
                place.caller.post(place.platform_address(), "/faults?" + fault + "=0");
            });
        }
        section("edits after the outage reach everyone, the late joiners included", [&] {
            const auto newest = place.put_catalogue_object("work/swatch", work_json(60));
            for (const auto& address : {place.entry_address("e1"),
                                        place.entry_address("e-outage"),
                                        place.entry_address("e-silent"),
                                        place.agent_admin_address("m1")}) {
                wait_for_revision(place, address, newest);
            }
        });
        place.check_invariants();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(configuration_tests);

} // namespace tanager::testing
