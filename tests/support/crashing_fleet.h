// Backend servers that certain requests crash, beside a group of gateways.
#pragma once

#include "tests/support/child_process.h"
#include "tests/support/gateway_group.h"

#include <algorithm>
#include <chrono>
#include <fstream>
#include <iterator>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace tanager::testing {

// Backend servers as processes. They are started again after a crash, and entered in the store.
class crashing_fleet {
public:
    using steady_clock = std::chrono::steady_clock;

    // A crashed server is back after this, with a new id and address.
    static constexpr std::chrono::milliseconds default_restart_delay{1'500};
    // After its restart, gateways learn of a server within this. Until then they may find only closed ports.
    static constexpr std::chrono::seconds listing_delay{2};

    // `server_arguments` say which requests end a server, and how.
    crashing_fleet(gateway_group& group,
                   int server_count,
                   std::vector<std::string> server_arguments,
                   std::chrono::milliseconds restart_delay = default_restart_delay)
        : group(group), server_arguments(std::move(server_arguments)), restart_delay(restart_delay)
    {
        for (int index = 0; index < server_count; ++index) {
            this->start();
        }
    }

    // Notices crashes and starts crashed servers again.
    void supervise()
    {
        const auto now = steady_clock::now();
        std::size_t servers_to_start = 0;
        for (auto server = this->servers.begin(); server != this->servers.end();) {
            if (!server->crashed_at && has_crashed(*server->process)) {
                server->crashed_at = now;
                this->crashes.push_back(now);
            }
            if (server->crashed_at && now - *server->crashed_at >= this->restart_delay) {
                this->record_fatal_requests(*server);
                this->call("DELETE", "/objects/servers/" + server->id + "?revision=" + server->revision, {});
                server = this->servers.erase(server);
                ++servers_to_start;
            } else {
                ++server;
            }
        }
        for (; servers_to_start > 0; --servers_to_start) {
            this->start();
        }
    }

    // Returns how many servers crashed later than `delay` after the crash with this number, from 1.
    std::size_t crashes_later_than(std::size_t number, std::chrono::milliseconds delay) const
    {
        if (this->crashes.size() < number) {
            return 0;
        }
        const auto limit = this->crashes[number - 1] + delay;
        return static_cast<std::size_t>(
            std::ranges::count_if(this->crashes, [&](auto crash) { return crash > limit; }));
    }

    // Returns whether all crashed servers were back at a moment, and known to be.
    bool was_whole(steady_clock::time_point moment) const
    {
        return this->crashes.empty() || moment > this->crashes.back() + this->restart_delay + listing_delay;
    }

    std::vector<steady_clock::time_point> crashes;
    // By path: when servers ended that had received a request which ends them. A server counts once for each
    // arrival, after its restart.
    std::map<std::string, std::vector<steady_clock::time_point>> fatal_arrivals;

private:
    struct running_server {
        std::string id;
        std::string revision; // of its entry in the store
        std::unique_ptr<child_process> process;
        std::optional<steady_clock::time_point> crashed_at;
    };

    // A silent server is a stopped process.
    static bool has_crashed(child_process& process)
    {
        if (!process.is_running()) {
            return true;
        }
        std::ifstream status("/proc/" + std::to_string(process.id()) + "/stat");
        const std::string text{std::istreambuf_iterator<char>(status), {}};
        const auto name_end = text.rfind(')');
        return name_end != std::string::npos && name_end + 2 < text.size() && text[name_end + 2] == 'T';
    }

    void record_fatal_requests(const running_server& server)
    {
        for (const auto& line : server.process->matching_lines("kind=crash")) {
            const auto begin = line.find(" path=") + std::string_view{" path="}.size();
            const auto path = line.substr(begin, line.find(' ', begin) - begin);
            this->fatal_arrivals[path].push_back(*server.crashed_at);
        }
    }

    void start()
    {
        const auto id = "s" + std::to_string(++this->started_count);
        std::vector<std::string> arguments{"--id", id};
        std::ranges::copy(this->server_arguments, std::back_inserter(arguments));
        auto process = std::make_unique<child_process>("standin-server", arguments);
        const nlohmann::json spec{{"service", "desk"},
                                  {"address", process->address("http")},
                                  {"zone", "here"},
                                  {"slots", 6},
                                  {"state", "ready"},
                                  {"born", this->started_count}};
        const auto entry = nlohmann::json::parse(
            this->call("POST", "/objects/servers", {{"metadata", {{"name", id}}}, {"spec", spec}}));
        this->servers.push_back({id, entry["metadata"]["revision"].dump(), std::move(process), std::nullopt});
    }

    // Returns the body of the store's response.
    std::string call(const std::string& method, const std::string& path, const nlohmann::json& body) const
    {
        // Not the group's client, whose loop runs the supervision.
        test_client client;
        const auto response =
            client.fetch(this->group.store_address, {method, path, {}, body.is_null() ? "" : body.dump()});
        CPPUNIT_ASSERT_EQUAL(200, response.status);
        return response.body;
    }

    gateway_group& group;
    std::vector<std::string> server_arguments;
    std::chrono::milliseconds restart_delay;
    std::vector<running_server> servers;
    int started_count = 0;
};

} // namespace tanager::testing
