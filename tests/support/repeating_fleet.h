// Backend servers that send some of their responses twice, behind a group of gateways, and callers that count
// what became of their requests.
#pragma once

#include "testing/section.h"
#include "tests/support/child_process.h"
#include "tests/support/gateway_group.h"

#include <cppunit/extensions/HelperMacros.h>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace tanager::testing {

inline constexpr std::size_t max_logged_requests = 3;

struct repeat_scenario {
    std::string route = "order";
    int gateway_count = 2;
    int server_count = 3;
    std::size_t request_count = 2'000;
    std::size_t parallel_requests = 8;
    std::vector<std::string> server_arguments;
};

struct repeat_result {
    std::size_t requests = 0;
    std::size_t served = 0;
    std::size_t rejected = 0; // answered as not run
    std::size_t failed = 0;   // answered as perhaps run
    std::size_t ran_twice = 0;
    std::size_t more_servers_than_allowed = 0;
    std::size_t rejected_although_run = 0;
    std::size_t met_copies = 0;
    std::size_t failed_at_copies = 0; // of those that met a copy and ran
    std::size_t mixed = 0;            // a success with another request's body
    std::size_t repeats = 0;          // arrivals beyond the first of each request
    std::string log_lines;            // of the gateways, on the first requests that ran twice

    std::string to_text() const
    {
        return std::to_string(this->requests) + " requests, " + std::to_string(this->served) + " served, " +
               std::to_string(this->rejected) + " rejected, " + std::to_string(this->failed) + " failed, " +
               std::to_string(this->ran_twice) + " ran twice, " +
               std::to_string(this->more_servers_than_allowed) + " at too many servers, " +
               std::to_string(this->rejected_although_run) + " rejected although run, " +
               std::to_string(this->met_copies) + " met copies, " + std::to_string(this->failed_at_copies) +
               " of them ran and failed, " + std::to_string(this->mixed) + " mixed, " +
               std::to_string(this->repeats) + " repeats" + this->log_lines;
    }
};

// Sends requests to all gateways in turn, a few at a time.
class repeat_scenario_runner {
public:
    explicit repeat_scenario_runner(repeat_scenario scenario)
        : scenario(std::move(scenario)),
          group(this->scenario.gateway_count, {"--servers", "0", "--timeout-ms", "3000"})
    {
        for (int index = 0; index < this->scenario.server_count; ++index) {
            this->start_server(index);
        }
        this->group.wait_until_serving(this->scenario.server_count);
    }

    repeat_result run()
    {
        std::vector<std::shared_ptr<async_response>> responses;
        std::vector<std::shared_ptr<async_response>> unfinished;
        while (responses.size() < this->scenario.request_count || !unfinished.empty()) {
            while (responses.size() < this->scenario.request_count &&
                   unfinished.size() < this->scenario.parallel_requests) {
                responses.push_back(this->send(responses.size()));
                unfinished.push_back(responses.back());
            }
            this->group.caller.run_until([&] {
                return std::erase_if(unfinished,
                                     [](const auto& response) { return response->is_finished(); }) > 0;
            });
        }
        return this->count(responses);
    }

private:
    void start_server(int index)
    {
        // Unlike those of any other test that runs at the same time.
        const auto id = "s" + std::to_string(getpid()) + "-" + std::to_string(index);
        std::vector<std::string> arguments{"--id", id, "--seed", std::to_string(index + 1)};
        std::ranges::copy(this->scenario.server_arguments, std::back_inserter(arguments));
        this->servers.push_back(std::make_unique<child_process>("standin-repeating-server", arguments));
        this->server_addresses.push_back(this->servers.back()->address("http"));
        const nlohmann::json spec{{"service", "desk"},
                                  {"address", this->server_addresses.back()},
                                  {"zone", "here"},
                                  {"slots", 6},
                                  {"state", "ready"},
                                  {"born", index + 1}};
        const nlohmann::json object{{"metadata", {{"name", id}}}, {"spec", spec}};
        const auto response = this->group.caller.fetch(this->group.store_address,
                                                       {"POST", "/objects/servers", {}, object.dump()});
        CPPUNIT_ASSERT_EQUAL(200, response.status);
    }

    static std::string id_of(std::size_t number)
    {
        return "r" + std::to_string(number);
    }

    std::shared_ptr<async_response> send(std::size_t number)
    {
        const auto index = number % this->group.members.size();
        const auto gateway = std::next(this->group.members.begin(), static_cast<std::ptrdiff_t>(index));
        const auto id = id_of(number);
        const http_headers headers{{"Host", "shop.example"}, {"Attempt-Id", id}, {"Deadline-Ms", "3000"}};
        return this->group.caller.start(
            gateway->second.address, {"POST", "/" + this->scenario.route + "/1", headers, "body of " + id});
    }

    repeat_result count(const std::vector<std::shared_ptr<async_response>>& responses)
    {
        std::map<std::string, std::size_t> runs;
        std::map<std::string, std::size_t> arrivals;
        std::map<std::string, std::size_t> copies;
        std::map<std::string, std::size_t> servers_with_run;
        for (const auto& address : this->server_addresses) {
            const auto report = nlohmann::json::parse(this->group.caller.get(address, "/runs").body);
            add(report["runs"], runs);
            add(report["arrivals"], arrivals);
            add(report["met_copies"], copies);
            for (const auto& [id, count] : report["runs"].items()) {
                ++servers_with_run[id];
            }
        }
        repeat_result result;
        result.requests = responses.size();
        const std::size_t max_servers = this->scenario.route == "order" ? 1 : 2;
        for (std::size_t number = 0; number < responses.size(); ++number) {
            const auto id = id_of(number);
            const auto& response = responses[number]->response;
            const int status = response ? response->status : 0;
            const bool has_run = runs[id] > 0;
            result.served += status == 200 ? 1 : 0;
            result.rejected += status == 503 ? 1 : 0;
            result.failed += status != 200 && status != 503 ? 1 : 0;
            if (runs[id] > 1 && result.ran_twice < max_logged_requests) {
                result.log_lines += "\n" + id + " arrived " + std::to_string(arrivals[id]) + " times at " +
                                    std::to_string(servers_with_run[id]) + " servers" +
                                    this->log_lines_of(id);
            }
            result.ran_twice += runs[id] > 1 ? 1 : 0;
            result.more_servers_than_allowed += servers_with_run[id] > max_servers ? 1 : 0;
            result.rejected_although_run += status == 503 && has_run ? 1 : 0;
            result.met_copies += copies[id] > 0 ? 1 : 0;
            result.failed_at_copies += copies[id] > 0 && has_run && status != 200 ? 1 : 0;
            result.mixed += status == 200 && !ends_with_id(response->body, id) ? 1 : 0;
            result.repeats += arrivals[id] > 1 ? arrivals[id] - 1 : 0;
        }
        return result;
    }

    std::string log_lines_of(const std::string& id)
    {
        std::string lines;
        for (const auto& [host, gateway] : this->group.members) {
            for (const auto& line : gateway.process->matching_lines(" request=" + id + " ")) {
                lines += "\n" + line;
            }
        }
        return lines;
    }

    static bool ends_with_id(std::string body, const std::string& id)
    {
        while (!body.empty() && body.back() == '\n') {
            body.pop_back();
        }
        return body.ends_with(" " + id);
    }

    static void add(const nlohmann::json& counts, std::map<std::string, std::size_t>& sums)
    {
        for (const auto& [id, count] : counts.items()) {
            sums[id] += count.get<std::size_t>();
        }
    }

    repeat_scenario scenario;
    gateway_group group;
    std::vector<std::unique_ptr<child_process>> servers;
    std::vector<std::string> server_addresses;
};

} // namespace tanager::testing
