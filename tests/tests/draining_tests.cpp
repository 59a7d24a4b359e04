// Processes and hosts that leave by plan: no request is cut, and no new work arrives.
#include "standins/support/expected_completion.h"
#include "testing/section.h"
#include "tests/support/test_cluster.h"

#include <cppunit/extensions/HelperMacros.h>
#include <csignal>

namespace tanager::testing {

namespace {

// Keeps a number of completions running at one entry and checks each answer.
class steady_load {
public:
    steady_load(test_cluster& place, std::string entry, std::size_t width)
        : place(place), entry(std::move(entry)), width(width)
    {
    }

    // Tops the load up and checks what has ended.
    void turn()
    {
        for (std::size_t i = 0; i < this->running.size();) {
            if (!this->running[i].answer->is_settled()) {
                ++i;
                continue;
            }
            this->check(this->running[i]);
            this->running.erase(this->running.begin() + static_cast<std::ptrdiff_t>(i));
        }
        while (!this->is_ending && this->running.size() < this->width) {
            const auto prompt = "load " + std::to_string(++this->last);
            const auto request =
                make_completion_request(midlands_key, "swatch", prompt, 20, this->last % 2 == 0);
            this->running.push_back({prompt, this->place.caller.start(this->entry, request)});
        }
    }

    void run_until(const std::function<bool()>& condition)
    {
        this->place.caller.run_until([&] {
            this->turn();
            return condition();
        });
    }

    // Runs a number of further requests.
    void run_more(std::size_t count)
    {
        const std::size_t goal = this->whole + count;
        this->run_until([&] { return this->whole >= goal; });
    }

    void end()
    {
        this->is_ending = true;
        this->run_until([&] { return this->running.empty(); });
    }

    std::size_t whole = 0;
    std::vector<std::string> failures;

private:
    struct running_request {
        std::string prompt;
        std::shared_ptr<async_response> answer;
    };

    void check(const running_request& ended)
    {
        const bool is_whole = ended.answer->reply && completion_text(*ended.answer->reply) ==
                                                         standin::expected_completion(ended.prompt, 20);
        if (is_whole) {
            ++this->whole;
        } else {
            this->failures.push_back(
                ended.prompt + ": " +
                (ended.answer->reply ? ended.answer->reply->body : ended.answer->failure->cause.detail));
        }
    }

    test_cluster& place;
    std::string entry;
    std::size_t width;
    std::uint64_t last = 0;
    bool is_ending = false;
    std::vector<running_request> running;
};

void assert_no_failures(const steady_load& load)
{
    CPPUNIT_ASSERT_EQUAL_MESSAGE(
        load.failures.empty() ? "" : load.failures.front(), std::size_t{0}, load.failures.size());
}

const std::vector<std::string> quick_engine{"--token-microseconds", "2000"};

} // namespace

class draining_tests : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(draining_tests);
    CPPUNIT_TEST(agents_are_replaced_under_load);
    CPPUNIT_TEST(a_drained_host_gets_no_new_work);
    CPPUNIT_TEST(a_host_listed_as_leaving_gets_no_new_work);
    CPPUNIT_TEST(an_entry_stops_gracefully);
    CPPUNIT_TEST(programs_end_cleanly_time_after_time);
    CPPUNIT_TEST_SUITE_END();

public:
    void agents_are_replaced_under_load()
    {
        test_cluster place;
        place.start_agents(
            {{"m1", "helper", quick_engine}, {"m2", "helper", quick_engine}, {"m3", "helper", quick_engine}});
        place.start_entry("e1");
        steady_load load(place, place.entry_address("e1"), 24);
        load.run_more(50);
        for (const std::string host : {"m1", "m2", "m3"}) {
            section(host + " is replaced", [&] {
                auto& leaving = place.agent(host);
                leaving.send_signal(SIGTERM);
                load.run_until([&] { return leaving.has_line("program_stopped"); });
                CPPUNIT_ASSERT_EQUAL(0, leaving.wait());
                place.restart_agent(host, SIGCONT);
                load.run_until([&] {
                    return place.caller.get(place.agent_admin_address(host), "/healthz").status == 200;
                });
                load.run_more(50);
            });
        }
        load.end();
        assert_no_failures(load);
        place.check_invariants();
    }

    void a_drained_host_gets_no_new_work()
    {
        test_cluster place;
        place.start_agents({{"m1", "helper", quick_engine}, {"m2", "helper", quick_engine}});
        place.start_entry("e1");
        steady_load load(place, place.entry_address("e1"), 8);
        load.run_more(20);
        place.write_pools("m1");
        const auto is_drained = [&] {
            return place.caller.get(place.agent_admin_address("m1"), "/healthz").status == 503 &&
                   place.caller.get(place.backend_address("m1"), "/load").body.find("\"running\":0") !=
                       std::string::npos;
        };
        load.run_until(is_drained);
        const auto runs_before = place.caller.get(place.backend_address("m1"), "/runs").body;
        load.run_more(40);
        CPPUNIT_ASSERT_EQUAL(runs_before, place.caller.get(place.backend_address("m1"), "/runs").body);
        section("until the drain is taken back", [&] {
            place.write_pools();
            load.run_until(
                [&] { return place.caller.get(place.backend_address("m1"), "/runs").body != runs_before; });
        });
        load.end();
        assert_no_failures(load);
        place.check_invariants();
    }

    void a_host_listed_as_leaving_gets_no_new_work()
    {
        test_cluster place;
        place.start_agents({{"m1", "helper", quick_engine}, {"m2", "helper", quick_engine}});
        place.start_entry("e1");
        steady_load load(place, place.entry_address("e1"), 8);
        load.run_more(20);
        place.put_hosts(
            R"({"hosts":[{"host":"m1","data_centre":"nottm-a","group":"helper","state":"leaving"}]})");
        load.run_until([&] { return place.agent("m1").has_line("agent_leaving"); });
        load.run_until([&] {
            return place.caller.get(place.backend_address("m1"), "/load").body.find("\"running\":0") !=
                   std::string::npos;
        });
        const auto runs_before = place.caller.get(place.backend_address("m1"), "/runs").body;
        load.run_more(40);
        CPPUNIT_ASSERT_EQUAL(runs_before, place.caller.get(place.backend_address("m1"), "/runs").body);
        load.end();
        assert_no_failures(load);
        place.check_invariants();
    }

    void an_entry_stops_gracefully()
    {
        test_cluster place;
        place.start_agents({{"m1", "helper", {"--token-microseconds", "10000"}}});
        place.start_entry("e1");
        const auto answer =
            place.caller.start(place.entry_address("e1"),
                               make_completion_request(midlands_key, "swatch", "until the end", 60, true));
        place.caller.run_until([&] { return !answer->body_so_far.empty(); });
        place.entry("e1").send_signal(SIGTERM);
        place.caller.run_until([&] { return answer->is_settled(); });
        CPPUNIT_ASSERT(answer->reply.has_value());
        CPPUNIT_ASSERT_EQUAL(standin::expected_completion("until the end", 60),
                             completion_text(*answer->reply));
        CPPUNIT_ASSERT_EQUAL(0, place.entry("e1").wait());
        place.check_invariants();
    }

    void programs_end_cleanly_time_after_time()
    {
        constexpr int rounds = 10;
        test_cluster place;
        place.start_agents({{"m1", "helper", {}}, {"o1", "orders", {}}});
        for (int round = 0; round < rounds; ++round) {
            const auto host = "e" + std::to_string(round);
            place.start_entry(host);
            place.entry(host).send_signal(SIGTERM);
            CPPUNIT_ASSERT_EQUAL(0, place.entry(host).wait());
        }
        for (const std::string host : {"m1", "o1"}) {
            place.agent(host).send_signal(SIGTERM);
            CPPUNIT_ASSERT_EQUAL(0, place.agent(host).wait());
        }
        place.check_invariants();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(draining_tests);

} // namespace tanager::testing
