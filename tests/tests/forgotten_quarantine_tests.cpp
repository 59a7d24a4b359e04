// Requests that end backend servers go on while gateways restart, beside others of their kind, or in other
// ways than before. Guards against gateways that do not know of a quarantine, or that give it up: three ends
// of a request are known, and it ends more servers all the same.
#include "testing/section.h"
#include "tests/support/crashing_fleet.h"
#include "tests/support/gateway_group.h"

#include <cppunit/extensions/HelperMacros.h>
#include <optional>

namespace tanager::testing {

namespace {

using namespace std::chrono_literals;
using std::chrono::steady_clock;

// What the users' rule allows after the third server has ended under a request.
constexpr auto knowledge_delay = 3s;
constexpr std::size_t ends_to_learn_from = 3;
constexpr std::size_t max_late_arrivals = 3;
constexpr auto observation_time = 14s;
constexpr auto innocent_interval = 25ms;
constexpr std::size_t final_request_count = 20;

struct crash_scenario {
    int gateway_count = 3;
    int server_count = 8;
    int culprit_count = 1;
    std::chrono::milliseconds culprit_interval{400}; // of each culprit, sent twice
    std::string crash_mode = "reset";
    std::string crash_after_ms = "0";
    std::chrono::milliseconds server_restart_delay{1'200};
    std::optional<std::chrono::milliseconds> gateway_restart_interval = std::nullopt; // one gateway in turn
    bool has_changing_credentials = false;
};

struct scenario_result {
    std::size_t ends = 0;
    std::map<std::string, std::size_t> arrivals; // by path of the culprit
    std::map<std::string, std::size_t> late_arrivals;
    std::size_t innocent_requests = 0;
    std::size_t served_innocents = 0;
    std::size_t served_at_the_end = 0;

    std::size_t max_late() const
    {
        std::size_t max = 0;
        for (const auto& [path, count] : this->late_arrivals) {
            max = std::max(max, count);
        }
        return max;
    }

    std::string to_text() const
    {
        auto text = std::to_string(this->ends) + " servers ended; " + std::to_string(this->served_innocents) +
                    " of " + std::to_string(this->innocent_requests) + " innocent requests were served;";
        for (const auto& [path, count] : this->arrivals) {
            text += " " + path + " arrived " + std::to_string(count) + " times, late " +
                    std::to_string(this->late_arrivals.at(path));
        }
        return text;
    }
};

// Sends the culprits and innocent requests to all gateways in turn.
class scenario_runner {
public:
    explicit scenario_runner(const crash_scenario& scenario)
        : scenario(scenario),
          group(scenario.gateway_count, {"--servers", "0", "--timeout-ms", "3000"}),
          fleet(group,
                scenario.server_count,
                {"--crash-mode", scenario.crash_mode, "--crash-after-ms", scenario.crash_after_ms},
                scenario.server_restart_delay)
    {
        this->group.wait_until_serving(scenario.server_count);
    }

    scenario_result run()
    {
        auto& loop = this->group.caller.loop();
        const auto supervision = loop.run_every(20ms, [this] { this->fleet.supervise(); });
        auto culprits = loop.run_every(this->scenario.culprit_interval, [this] { this->send_culprits(); });
        auto innocents = loop.run_every(innocent_interval, [this] {
            this->innocents.push_back(this->send("/read/1?work_ms=20", "innocent"));
        });
        std::unique_ptr<loop_timer> restarts;
        if (this->scenario.gateway_restart_interval) {
            restarts = loop.run_every(*this->scenario.gateway_restart_interval,
                                      [this] { this->restart_next_gateway(); });
        }
        const auto ends_at = steady_clock::now() + observation_time;
        this->group.caller.run_until([&] { return steady_clock::now() >= ends_at; });
        culprits.reset();
        innocents.reset();
        restarts.reset();
        // Servers that have just ended come back first.
        const auto quiet_from = steady_clock::now();
        this->group.caller.run_until([&] {
            return steady_clock::now() - quiet_from > 1s && this->fleet.was_whole(steady_clock::now());
        });
        return this->collect_result();
    }

private:
    scenario_result collect_result()
    {
        scenario_result result;
        result.ends = this->fleet.crashes.size();
        for (auto& [path, arrivals] : this->fleet.fatal_arrivals) {
            std::ranges::sort(arrivals);
            result.arrivals[path] = arrivals.size();
            result.late_arrivals[path] = count_late(arrivals);
        }
        for (const auto& response : this->innocents) {
            ++result.innocent_requests;
            result.served_innocents += is_served(*response) ? 1 : 0;
        }
        for (std::size_t count = 0; count < final_request_count; ++count) {
            const auto response = this->send("/read/1", "innocent");
            this->group.caller.run_until([&] { return response->is_finished(); });
            result.served_at_the_end += is_served(*response) ? 1 : 0;
        }
        return result;
    }

    // Returns how many of the sorted arrivals came too late after the third server had ended.
    static std::size_t count_late(const std::vector<steady_clock::time_point>& arrivals)
    {
        auto ends = arrivals;
        ends.erase(std::unique(ends.begin(), ends.end()), ends.end());
        if (ends.size() < ends_to_learn_from) {
            return 0;
        }
        const auto limit = ends[ends_to_learn_from - 1] + knowledge_delay;
        return static_cast<std::size_t>(
            std::ranges::count_if(arrivals, [&](auto arrival) { return arrival > limit; }));
    }

    static bool is_served(const async_response& response)
    {
        return response.response && response.response->status == 200;
    }

    void send_culprits()
    {
        for (int culprit = 0; culprit < this->scenario.culprit_count; ++culprit) {
            for (int copy = 0; copy < 2; ++copy) {
                this->send("/read/culprit-" + std::to_string(culprit), "crash");
            }
        }
    }

    void restart_next_gateway()
    {
        const auto index = this->restart_count++ % this->group.members.size();
        const auto host = std::next(this->group.members.begin(), static_cast<std::ptrdiff_t>(index))->first;
        this->group.kill(host);
        this->group.start(host);
    }

    std::shared_ptr<async_response> send(const std::string& path, const std::string& body)
    {
        const auto index = this->sent_count++ % this->group.members.size();
        const auto gateway = std::next(this->group.members.begin(), static_cast<std::ptrdiff_t>(index));
        const auto id = std::to_string(this->sent_count);
        http_headers headers{{"Host", "shop.example"}, {"Attempt-Id", "r" + id}, {"Deadline-Ms", "3000"}};
        if (this->scenario.has_changing_credentials) {
            headers.push_back({"Authorization", "Bearer " + id});
        }
        // Innocent requests are all different.
        const auto text = body == "crash" ? body : body + id;
        return this->group.caller.start(gateway->second.address, {"POST", path, headers, text});
    }

    crash_scenario scenario;
    gateway_group group;
    crashing_fleet fleet;
    std::vector<std::shared_ptr<async_response>> innocents;
    std::size_t sent_count = 0;
    std::size_t restart_count = 0;
};

class forgotten_quarantine_tests : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(forgotten_quarantine_tests);
    CPPUNIT_TEST(a_gateway_that_has_just_started_sends_no_request_that_the_others_refuse);
    CPPUNIT_TEST(a_request_is_known_although_others_end_the_same_servers_and_gateways_restart);
    CPPUNIT_TEST(a_request_is_known_although_many_others_end_the_same_servers);
    CPPUNIT_TEST(a_request_is_known_although_its_caller_sends_other_credentials);
    CPPUNIT_TEST(a_request_is_known_although_its_servers_end_in_the_middle_of_a_response);
    CPPUNIT_TEST_SUITE_END();

public:
    static void check(const crash_scenario& scenario)
    {
        const auto result = scenario_runner(scenario).run();
        section("servers end under it", [&] { CPPUNIT_ASSERT_MESSAGE(result.to_text(), result.ends >= 2); });
        section("three seconds after the third end, it reaches at most three servers",
                [&] { CPPUNIT_ASSERT_MESSAGE(result.to_text(), result.max_late() <= max_late_arrivals); });
        section("once it has stopped, every innocent request is served", [&] {
            CPPUNIT_ASSERT_EQUAL_MESSAGE(result.to_text(), final_request_count, result.served_at_the_end);
        });
    }

    void a_gateway_that_has_just_started_sends_no_request_that_the_others_refuse()
    {
        check({.gateway_restart_interval = 1'200ms});
    }

    void a_request_is_known_although_others_end_the_same_servers_and_gateways_restart()
    {
        check({.gateway_count = 4,
               .server_count = 3,
               .culprit_count = 4,
               .crash_after_ms = "60",
               .gateway_restart_interval = 1'200ms});
    }

    void a_request_is_known_although_many_others_end_the_same_servers()
    {
        check({.gateway_count = 2, .culprit_count = 20, .crash_after_ms = "60"});
    }

    void a_request_is_known_although_its_caller_sends_other_credentials()
    {
        check({.gateway_count = 2, .has_changing_credentials = true});
    }

    void a_request_is_known_although_its_servers_end_in_the_middle_of_a_response()
    {
        check({.gateway_count = 2, .crash_mode = "midway"});
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(forgotten_quarantine_tests);

} // namespace

} // namespace tanager::testing
