// Several gateways of one data centre as real processes, with a store.
#pragma once

#include "tests/support/child_process.h"
#include "tests/support/test_client.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <unistd.h>
#include <vector>

namespace tanager::testing {

// A store and gateways that share one data centre.
class gateway_group {
public:
    // `site_arguments` are those of the stand-in for the store and the backend servers; `more_settings` is
    // appended to the settings of each gateway, and so is `duty_settings` with the address of its calls.
    explicit gateway_group(int gateway_count,
                           const std::vector<std::string>& site_arguments = {"--timeout-ms", "5000"},
                           std::string more_settings = {},
                           std::string duty_settings = {})
        : standin_site("standin-site", site_arguments),
          store_address(standin_site.address("http")),
          more_settings(std::move(more_settings)),
          duty_settings(std::move(duty_settings))
    {
        for (int count = 0; count < gateway_count; ++count) {
            this->start("g" + std::to_string(count));
        }
    }

    ~gateway_group()
    {
        for (const auto& path : this->settings_paths) {
            std::filesystem::remove(path);
        }
    }

    gateway_group(const gateway_group&) = delete;
    gateway_group& operator=(const gateway_group&) = delete;
    gateway_group(gateway_group&&) = delete;
    gateway_group& operator=(gateway_group&&) = delete;

    // Gateways that start on this host reach the store at another address, such as that of a proxy.
    void set_store_address(const std::string& host, const std::string& address)
    {
        this->store_addresses[host] = address;
    }

    struct member {
        std::unique_ptr<child_process> process;
        std::string address;
        std::string admin_address;
    };

    void start(const std::string& host)
    {
        const auto path = this->write_settings(host);
        auto& started = this->members[host];
        started.process =
            std::make_unique<child_process>("tanager-gateway", std::vector<std::string>{"--config", path});
        started.address = started.process->address("http");
        started.admin_address = started.process->address("pages");
    }

    void kill(const std::string& host)
    {
        auto& killed = this->members.at(host);
        killed.process->send_signal(SIGKILL);
        killed.process->wait();
        this->members.erase(host);
    }

    double metric(const std::string& host, const std::string& series)
    {
        return metric_value(this->caller.get(this->members.at(host).admin_address, "/metrics"), series);
    }

    void wait_for_metric(const std::string& host, const std::string& series, double value)
    {
        this->caller.poll_until(
            this->members.at(host).admin_address, "/metrics", [&](const http_response& page) {
                return metric_value(page, series) == value;
            });
    }

    // Waits until every gateway knows all servers and the other gateways, and returns their addresses.
    std::vector<std::string> wait_until_serving(int server_count)
    {
        std::vector<std::string> addresses;
        for (const auto& [host, each] : this->members) {
            addresses.push_back(each.address);
            this->wait_for_metric(host, "tanager_servers_taking_work", server_count);
            this->wait_for_metric(host, "tanager_peers_heard", static_cast<double>(this->members.size()) - 1);
        }
        return addresses;
    }

    // Waits until every gateway has heard of all others, and returns the hosts of those that watch the store.
    std::vector<std::string> wait_for_election()
    {
        for (const auto& [host, each] : this->members) {
            this->wait_for_metric(host, "tanager_peers_heard", static_cast<double>(this->members.size()) - 1);
        }
        std::vector<std::string> watchers;
        for (;;) {
            watchers.clear();
            for (const auto& [host, each] : this->members) {
                if (this->metric(host, "tanager_store_watcher") == 1) {
                    watchers.push_back(host);
                }
            }
            if (watchers.size() == std::min<std::size_t>(2, this->members.size())) {
                return watchers;
            }
        }
    }

    void apply_configuration(int version, const std::function<void(nlohmann::json&)>& edit = {})
    {
        auto object =
            nlohmann::json::parse(this->caller.get(this->store_address, "/objects/config/main").body);
        object["spec"]["version"] = version;
        if (edit) {
            edit(object["spec"]);
        }
        const auto response =
            this->caller.fetch(this->store_address, {"PUT", "/objects/config/main", {}, object.dump()});
        CPPUNIT_ASSERT_EQUAL(200, response.status);
    }

    void wait_for_configuration(int version)
    {
        for (const auto& [host, each] : this->members) {
            this->wait_for_metric(host, "tanager_configuration_version", version);
        }
    }

    int fetch_status(const std::string& host)
    {
        const http_request request{"POST",
                                   "/order/1",
                                   {{"Host", "shop.example"},
                                    {"Attempt-Id", "r" + std::to_string(++this->last_request_number)},
                                    {"Deadline-Ms", "5000"}},
                                   "x"};
        return this->caller.fetch(this->members.at(host).address, request).status;
    }

    child_process standin_site;
    std::string store_address;
    test_client caller;
    std::map<std::string, member> members;

private:
    std::string store_address_of(const std::string& host) const
    {
        const auto own = this->store_addresses.find(host);
        return own == this->store_addresses.end() ? this->store_address : own->second;
    }

    std::string write_settings(const std::string& host)
    {
        std::string path = (std::filesystem::temp_directory_path() / "tanager-group-XXXXXX").string();
        close(mkstemp(path.data()));
        std::ofstream(path) << "[gateway]\nhost = " << host
                            << "\ndata_centre = here\nregion = r\nstop_grace_seconds = 8\n"
                               "[http]\nlisten = 127.0.0.1:0\n[pages]\nlisten = 127.0.0.1:0\n"
                               "[peers]\nlisten = 127.0.0.1:0\n[store]\naddress = "
                            << this->store_address_of(host) << "\n"
                            << this->more_settings;
        if (!this->duty_settings.empty()) {
            std::ofstream(path, std::ios::app)
                << this->duty_settings << "address = " << this->standin_site.address("duties") << "\n";
        }
        this->settings_paths.push_back(path);
        return path;
    }

    std::string more_settings;
    // The sections that follow, up to the keys of [duties] without its address; empty without duties.
    std::string duty_settings;
    std::vector<std::string> settings_paths;
    std::map<std::string, std::string> store_addresses; // by host, where it is not `store_address`
    std::uint64_t last_request_number = 0;
};

} // namespace tanager::testing
