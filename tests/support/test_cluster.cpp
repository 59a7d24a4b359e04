#include "tests/support/test_cluster.h"

#include "base/digest.h"

#include <csignal>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace tanager::testing {

namespace {

constexpr int status_ok = 200;
constexpr std::uint32_t share_slot_count = 4;
constexpr std::uint32_t helper_cap_pieces = 400;
constexpr std::uint32_t orders_cap_pieces = 40;

bool is_service_pool(const std::string& pool)
{
    return pool == "orders";
}

std::string make_temporary_directory()
{
    std::string pattern = (std::filesystem::temp_directory_path() / "tanager-site-XXXXXX").string();
    if (mkdtemp(pattern.data()) == nullptr) {
        throw std::runtime_error("cannot create a temporary directory");
    }
    return pattern;
}

} // namespace

test_cluster::test_cluster() : settings_directory(make_temporary_directory())
{
    this->platform = std::make_unique<child_process>("standin-platform", std::vector<std::string>{});
    this->platform_http_address = this->platform->address("http");
    this->write_members();
    this->write_work();
}

test_cluster::~test_cluster()
{
    std::filesystem::remove_all(this->settings_directory);
}

std::string test_cluster::write_settings(const std::string& host, const std::string& text) const
{
    std::string path = this->settings_directory + "/" + host + ".ini";
    std::ofstream(path) << text;
    return path;
}

void test_cluster::start_agent_process(running_agent& started,
                                       const std::string& listen,
                                       const std::string& http_listen)
{
    const std::string path = this->write_settings(
        started.options.host,
        "[agent]\nhost = " + started.options.host + "\ndata_centre = nottm-a\nlisten = " + listen +
            "\nhttp_listen = " + http_listen + "\n[backend]\naddress = " + started.backend_address +
            "\ncapacity_pieces = " + std::to_string(started.options.capacity_pieces) +
            "\n[reports]\nshortest_interval_ms = 50\n");
    started.process =
        std::make_unique<child_process>("tanager-agent", std::vector<std::string>{"--config", path});
    started.grpc_address = started.process->address("grpc");
    started.admin_address = started.process->address("http");
}

void test_cluster::start_agents(const std::vector<agent_options>& all_options)
{
    std::map<std::string, std::uint32_t> next_share_slots;
    for (const auto& options : all_options) {
        running_agent started;
        started.options = options;
        started.share_slot = next_share_slots[options.pool]++;
        const std::string program = is_service_pool(options.pool) ? "standin-service" : "standin-engine";
        started.backend = std::make_unique<child_process>(program, options.backend_arguments);
        started.backend_address = started.backend->address("http");
        this->start_agent_process(started, "127.0.0.1:0", "127.0.0.1:0");
        started.advertised_address = started.grpc_address;
        if (options.is_behind_proxy) {
            started.proxy = std::make_unique<child_process>(
                "standin-proxy", std::vector<std::string>{"--target", started.grpc_address});
            started.advertised_address = started.proxy->address("proxy");
        }
        this->agents[options.host] = std::move(started);
    }
    this->write_pools();
}

void test_cluster::write_pools(const std::string& draining_host)
{
    for (const std::string pool : {"helper", "orders"}) {
        nlohmann::json json{{"kind", is_service_pool(pool) ? "service" : "model"},
                            {"region", "east-midlands"},
                            {"slots", share_slot_count},
                            {"agents", nlohmann::json::array()}};
        if (!is_service_pool(pool)) {
            json["model"] = "helper-7b";
        }
        for (const auto& [host, started] : this->agents) {
            if (started.options.pool == pool) {
                json["agents"].push_back({{"host", host},
                                          {"data_centre", "nottm-a"},
                                          {"address", started.advertised_address},
                                          {"slot", started.share_slot},
                                          {"draining", host == draining_host}});
            }
        }
        this->put_catalogue_object("pool/" + pool, json.dump());
    }
}

void test_cluster::write_members()
{
    for (const auto& [name, key] :
         std::map<std::string, std::string>{{"midlands", midlands_key}, {"yesil", yesil_key}}) {
        const nlohmann::json json{{"key_digests", {sha256_hex(key)}},
                                  {"caps",
                                   {{{"pool", "helper"}, {"pieces", helper_cap_pieces}},
                                    {{"pool", "orders"}, {"pieces", orders_cap_pieces}}}}};
        this->put_catalogue_object("member/" + name, json.dump());
    }
}

void test_cluster::write_work()
{
    const auto write =
        [this](const std::string& name, const std::string& owner, const std::string& pool, bool idempotent) {
            const nlohmann::json json{{"owner", owner},
                                      {"class", name},
                                      {"pool", pool},
                                      {"idempotent", idempotent},
                                      {"deadline_ms", 30'000}};
            this->put_catalogue_object("work/" + name, json.dump());
        };
    write("swatch", "midlands", "helper", true);
    write("gel-order", "midlands", "orders", false);
    write("stock", "midlands", "orders", true);
    write("rulebook", "yesil", "helper", true);
}

void test_cluster::start_entry_without_waiting(const std::string& host, const std::string& http_settings)
{
    std::string seeds;
    for (const auto& [agent_host, started] : this->agents) {
        seeds += (seeds.empty() ? "" : ", ") + started.advertised_address;
    }
    const std::string path =
        this->write_settings(host,
                             "[entry]\nhost = " + host +
                                 "\ndata_centre = nottm-a\nregion = east-midlands\n"
                                 "[http]\nlisten = 127.0.0.1:0\n" +
                                 http_settings + "[platform]\naddress = " + this->platform_http_address +
                                 "\nhost_list_interval_ms = 100\n"
                                 "timeout_ms = 500\n[peers]\nagents = " +
                                 seeds + "\n");
    this->entries[host] =
        std::make_unique<child_process>("tanager-entry", std::vector<std::string>{"--config", path});
    this->entry_http_addresses[host] = this->entries[host]->address("http");
}

void test_cluster::start_entry(const std::string& host, const std::string& http_settings)
{
    this->start_entry_without_waiting(host, http_settings);
    this->wait_until_ready(this->entry_http_addresses[host]);
    this->caller.poll_until(this->entry_http_addresses[host], "/metrics", [this](const http_response& page) {
        return metric_value(page, "tanager_agents_taking_work") == static_cast<double>(this->agents.size());
    });
}

void test_cluster::restart_agent(const std::string& host, int signal_number)
{
    auto& started = this->agents.at(host);
    started.process->send_signal(signal_number);
    started.process->wait();
    const std::string listen = started.grpc_address;
    const std::string http_listen = started.admin_address;
    this->start_agent_process(started, listen, http_listen);
}

void test_cluster::wait_until_ready(const std::string& address)
{
    this->caller.poll_until(
        address, "/healthz", [](const http_response& response) { return response.status == status_ok; });
}

std::uint64_t test_cluster::put_catalogue_object(const std::string& object_name, const std::string& json)
{
    const std::string path = "/v1/objects/catalogue/" + object_name;
    const auto current = this->caller.get(this->platform_http_address, path);
    const auto version = current.status == status_ok
                             ? nlohmann::json::parse(current.body).at("version").get<std::uint64_t>()
                             : 0;
    const auto written = this->caller.fetch(this->platform_http_address,
                                            {"PUT", path + "?expected=" + std::to_string(version), {}, json});
    if (written.status != status_ok) {
        throw std::runtime_error("cannot write " + object_name + ": status " +
                                 std::to_string(written.status));
    }
    return nlohmann::json::parse(written.body).at("version").get<std::uint64_t>();
}

void test_cluster::put_hosts(const std::string& json)
{
    this->caller.post(this->platform_http_address, "/v1/hosts", json);
}

child_process& test_cluster::agent(const std::string& host)
{
    return *this->agents.at(host).process;
}

child_process& test_cluster::backend(const std::string& host)
{
    return *this->agents.at(host).backend;
}

child_process& test_cluster::entry(const std::string& host)
{
    return *this->entries.at(host);
}

std::string test_cluster::platform_address() const
{
    return this->platform_http_address;
}

std::string test_cluster::entry_address(const std::string& host)
{
    return this->entry_http_addresses.at(host);
}

std::string test_cluster::agent_grpc_address(const std::string& host)
{
    return this->agents.at(host).grpc_address;
}

std::string test_cluster::agent_admin_address(const std::string& host)
{
    return this->agents.at(host).admin_address;
}

std::string test_cluster::backend_address(const std::string& host)
{
    return this->agents.at(host).backend_address;
}

std::string test_cluster::proxy_control_address(const std::string& host)
{
    return this->agents.at(host).proxy->address("http");
}

std::uint64_t test_cluster::execution_count(const std::string& host, const std::string& work)
{
    const auto execution_counts =
        nlohmann::json::parse(this->caller.get(this->backend_address(host), "/runs").body);
    return execution_counts.at("by_work").value(work, std::uint64_t{0});
}

void test_cluster::check_invariants()
{
    for (const auto& [host, started] : this->agents) {
        if (started.process->has_line("invariant_violated")) {
            throw std::runtime_error(host + " logged invariant_violated");
        }
    }
    for (const auto& [host, process] : this->entries) {
        if (process->has_line("invariant_violated")) {
            throw std::runtime_error(host + " logged invariant_violated");
        }
    }
}

} // namespace tanager::testing
