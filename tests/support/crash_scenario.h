// Requests that end backend servers, sent again and again to a group of gateways, beside innocent ones.
#pragma once

#include "testing/section.h"
#include "tests/support/crashing_fleet.h"
#include "tests/support/gateway_group.h"

#include <cppunit/extensions/HelperMacros.h>
#include <optional>

namespace tanager::testing {

// What the users' rule allows after the third server has ended under a request.
inline constexpr std::chrono::seconds knowledge_delay{3};
inline constexpr std::size_t ends_to_learn_from = 3;
inline constexpr std::size_t max_late_arrivals = 3;
inline constexpr std::chrono::seconds observation_time{14};
inline constexpr std::chrono::milliseconds innocent_interval{25};
inline constexpr std::chrono::milliseconds supervision_interval{20};
inline constexpr std::chrono::seconds quiet_time{1};
inline constexpr std::size_t final_request_count = 20;

struct crash_scenario {
    int gateway_count = 3;
    int server_count = 8;
    int culprit_count = 1;
    std::chrono::milliseconds culprit_interval{400}; // of each culprit, sent twice
    std::string crash_mode = "reset";
    std::string crash_after_ms = "0";
    std::chrono::milliseconds server_restart_delay{1'200};
    std::optional<std::chrono::milliseconds> gateway_restart_interval = std::nullopt;
    bool restarts_all_gateways = false; // at once, otherwise one in turn
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
        const auto supervision = loop.run_every(supervision_interval, [this] { this->fleet.supervise(); });
        auto culprits = loop.run_every(this->scenario.culprit_interval, [this] { this->send_culprits(); });
        auto innocents = loop.run_every(innocent_interval, [this] {
            this->innocents.push_back(this->send("/read/1?work_ms=20", "innocent"));
        });
        std::unique_ptr<loop_timer> restarts;
        if (this->scenario.gateway_restart_interval) {
            restarts = loop.run_every(*this->scenario.gateway_restart_interval,
                                      [this] { this->restart_gateways(); });
        }
        const auto ends_at = std::chrono::steady_clock::now() + observation_time;
        this->group.caller.run_until([&] { return std::chrono::steady_clock::now() >= ends_at; });
        culprits.reset();
        innocents.reset();
        restarts.reset();
        // Servers that have just ended come back first.
        const auto quiet_from = std::chrono::steady_clock::now();
        this->group.caller.run_until([&] {
            return std::chrono::steady_clock::now() - quiet_from > quiet_time &&
                   this->fleet.was_whole(std::chrono::steady_clock::now());
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
    static std::size_t count_late(const std::vector<std::chrono::steady_clock::time_point>& arrivals)
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

    void restart_gateways()
    {
        if (!this->scenario.restarts_all_gateways) {
            this->restart_next_gateway();
            return;
        }
        std::vector<std::string> hosts;
        for (const auto& [host, each] : this->group.members) {
            hosts.push_back(host);
        }
        std::ranges::for_each(hosts, [this](const auto& host) { this->group.kill(host); });
        std::ranges::for_each(hosts, [this](const auto& host) { this->group.start(host); });
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

// Runs a scenario and checks what must hold in each.
inline void check_crash_scenario(const crash_scenario& scenario)
{
    const auto result = scenario_runner(scenario).run();
    section("servers end under it", [&] { CPPUNIT_ASSERT_MESSAGE(result.to_text(), result.ends >= 2); });
    section("three seconds after the third end, it reaches at most three servers",
            [&] { CPPUNIT_ASSERT_MESSAGE(result.to_text(), result.max_late() <= max_late_arrivals); });
    section("once it has stopped, every innocent request is served", [&] {
        CPPUNIT_ASSERT_EQUAL_MESSAGE(result.to_text(), final_request_count, result.served_at_the_end);
    });
}

} // namespace tanager::testing
