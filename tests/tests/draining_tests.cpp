// Planned stops of processes and hosts: no request is cut off, and no new work arrives.
#include "standins/support/expected_completion.h"
#include "testing/section.h"
#include "tests/support/test_cluster.h"

#include <cppunit/extensions/HelperMacros.h>
#include <csignal>

namespace tanager::testing {

namespace {

// Keeps `concurrency` completions running at one entry and checks each response.
class closed_loop_load {
public:
    closed_loop_load(test_cluster& cluster, std::string entry, std::size_t concurrency)
        : cluster(cluster), entry(std::move(entry)), concurrency(concurrency)
    {
    }

    // Checks the requests that have finished and starts new ones in their stead.
    void check_and_refill()
    {
        for (std::size_t i = 0; i < this->running.size();) {
            if (!this->running[i].result->is_finished()) {
                ++i;
                continue;
            }
            this->record_result(this->running[i]);
            this->running.erase(this->running.begin() + static_cast<std::ptrdiff_t>(i));
        }
        while (!this->is_finishing && this->running.size() < this->concurrency) {
            const auto prompt = "load " + std::to_string(++this->last_number);
            const auto request =
                make_completion_request(midlands_key, "swatch", prompt, 20, this->last_number % 2 == 0);
            this->running.push_back({prompt, this->cluster.caller.start(this->entry, request)});
        }
    }

    void run_until(const std::function<bool()>& condition)
    {
        this->cluster.caller.run_until([&] {
            this->check_and_refill();
            return condition();
        });
    }

    // Runs until `count` further requests have completed.
    void complete_requests(std::size_t count)
    {
        const std::size_t target = this->completed + count;
        this->run_until([&] { return this->completed >= target; });
    }

    void finish()
    {
        this->is_finishing = true;
        this->run_until([&] { return this->running.empty(); });
    }

    std::size_t completed = 0;
    std::vector<std::string> failures;

private:
    struct running_request {
        std::string prompt;
        std::shared_ptr<async_response> result;
    };

    void record_result(const running_request& request)
    {
        const bool is_complete =
            request.result->response &&
            completion_text(*request.result->response) == standin::expected_completion(request.prompt, 20);
        if (is_complete) {
            ++this->completed;
        } else {
            this->failures.push_back(request.prompt + ": " +
                                     (request.result->response ? request.result->response->body
                                                               : request.result->failure->cause.detail));
        }
    }

    test_cluster& cluster;
    std::string entry;
    std::size_t concurrency;
    std::uint64_t last_number = 0;
    bool is_finishing = false;
    std::vector<running_request> running;
};

void assert_no_failures(const closed_loop_load& load)
{
    CPPUNIT_ASSERT_EQUAL_MESSAGE(
        load.failures.empty() ? "" : load.failures.front(), std::size_t{0}, load.failures.size());
}

const std::vector<std::string> fast_engine_arguments{"--token-microseconds", "2000"};

} // namespace

class draining_tests : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(draining_tests);
    CPPUNIT_TEST(agents_can_be_replaced_under_load);
    CPPUNIT_TEST(a_drained_host_gets_no_new_work);
    CPPUNIT_TEST(a_host_listed_as_leaving_gets_no_new_work);
    CPPUNIT_TEST(an_entry_stops_gracefully);
    CPPUNIT_TEST(programs_stop_cleanly_every_time);
    CPPUNIT_TEST_SUITE_END();

public:
    void agents_can_be_replaced_under_load()
    {
        test_cluster cluster;
        cluster.start_agents({{"m1", "helper", fast_engine_arguments},
                              {"m2", "helper", fast_engine_arguments},
                              {"m3", "helper", fast_engine_arguments}});
        cluster.start_entry("e1");
        closed_loop_load load(cluster, cluster.entry_address("e1"), 24);
        load.complete_requests(50);
        for (const std::string host : {"m1", "m2", "m3"}) {
            section(host + " is replaced", [&] {
                auto& leaving = cluster.agent(host);
                leaving.send_signal(SIGTERM);
                load.run_until([&] { return leaving.has_line("program_stopped"); });
                CPPUNIT_ASSERT_EQUAL(0, leaving.wait());
                cluster.restart_agent(host, SIGCONT);
                load.run_until([&] {
                    return cluster.caller.get(cluster.agent_admin_address(host), "/healthz").status == 200;
                });
                load.complete_requests(50);
            });
        }
        load.finish();
        assert_no_failures(load);
        cluster.check_invariants();
    }

    void a_drained_host_gets_no_new_work()
    {
        test_cluster cluster;
        cluster.start_agents(
            {{"m1", "helper", fast_engine_arguments}, {"m2", "helper", fast_engine_arguments}});
        cluster.start_entry("e1");
        closed_loop_load load(cluster, cluster.entry_address("e1"), 8);
        load.complete_requests(20);
        cluster.write_pools("m1");
        const auto is_drained = [&] {
            return cluster.caller.get(cluster.agent_admin_address("m1"), "/healthz").status == 503 &&
                   cluster.caller.get(cluster.backend_address("m1"), "/load").body.find("\"running\":0") !=
                       std::string::npos;
        };
        load.run_until(is_drained);
        const auto execution_counts_before = cluster.caller.get(cluster.backend_address("m1"), "/runs").body;
        load.complete_requests(40);
        CPPUNIT_ASSERT_EQUAL(execution_counts_before,
                             cluster.caller.get(cluster.backend_address("m1"), "/runs").body);
        section("the host gets work again when it is no longer draining", [&] {
            cluster.write_pools();
            load.run_until([&] {
                return cluster.caller.get(cluster.backend_address("m1"), "/runs").body !=
                       execution_counts_before;
            });
        });
        load.finish();
        assert_no_failures(load);
        cluster.check_invariants();
    }

    void a_host_listed_as_leaving_gets_no_new_work()
    {
        test_cluster cluster;
        cluster.start_agents(
            {{"m1", "helper", fast_engine_arguments}, {"m2", "helper", fast_engine_arguments}});
        cluster.start_entry("e1");
        closed_loop_load load(cluster, cluster.entry_address("e1"), 8);
        load.complete_requests(20);
        cluster.put_hosts(
            R"({"hosts":[{"host":"m1","data_centre":"nottm-a","group":"helper","state":"leaving"}]})");
        load.run_until([&] { return cluster.agent("m1").has_line("agent_leaving"); });
        load.run_until([&] {
            return cluster.caller.get(cluster.backend_address("m1"), "/load").body.find("\"running\":0") !=
                   std::string::npos;
        });
        const auto execution_counts_before = cluster.caller.get(cluster.backend_address("m1"), "/runs").body;
        load.complete_requests(40);
        CPPUNIT_ASSERT_EQUAL(execution_counts_before,
                             cluster.caller.get(cluster.backend_address("m1"), "/runs").body);
        load.finish();
        assert_no_failures(load);
        cluster.check_invariants();
    }

    void an_entry_stops_gracefully()
    {
        test_cluster cluster;
        cluster.start_agents({{"m1", "helper", {"--token-microseconds", "10000"}}});
        cluster.start_entry("e1");
        const auto result =
            cluster.caller.start(cluster.entry_address("e1"),
                                 make_completion_request(midlands_key, "swatch", "until the end", 60, true));
        cluster.caller.run_until([&] { return !result->body_so_far.empty(); });
        cluster.entry("e1").send_signal(SIGTERM);
        cluster.caller.run_until([&] { return result->is_finished(); });
        CPPUNIT_ASSERT(result->response.has_value());
        CPPUNIT_ASSERT_EQUAL(standin::expected_completion("until the end", 60),
                             completion_text(*result->response));
        CPPUNIT_ASSERT_EQUAL(0, cluster.entry("e1").wait());
        cluster.check_invariants();
    }

    void programs_stop_cleanly_every_time()
    {
        constexpr int rounds = 10;
        test_cluster cluster;
        cluster.start_agents({{"m1", "helper", {}}, {"o1", "orders", {}}});
        for (int round = 0; round < rounds; ++round) {
            const auto host = "e" + std::to_string(round);
            cluster.start_entry(host);
            cluster.entry(host).send_signal(SIGTERM);
            CPPUNIT_ASSERT_EQUAL(0, cluster.entry(host).wait());
        }
        for (const std::string host : {"m1", "o1"}) {
            cluster.agent(host).send_signal(SIGTERM);
            CPPUNIT_ASSERT_EQUAL(0, cluster.agent(host).wait());
        }
        cluster.check_invariants();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(draining_tests);

} // namespace tanager::testing
