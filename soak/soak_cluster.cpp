#include "soak/soak_cluster.h"

#include "base/text.h"
#include "net/uri.h"

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <unistd.h>

namespace tanager::soak {

namespace {

using nlohmann::json;
using testing::child_process;

constexpr int slots = 8;
constexpr int status_ok = 200;
constexpr int status_created = 201;

std::unique_ptr<child_process> start_proxy(const std::string& target)
{
    return std::make_unique<child_process>("standin-proxy", std::vector<std::string>{"--target", target});
}

std::string write_settings(const std::string& host, const std::string& store)
{
    std::string path = (std::filesystem::temp_directory_path() / "tanager-soak-XXXXXX").string();
    close(mkstemp(path.data()));
    std::ofstream(path) << "[gateway]\nhost = " << host
                        << "\ndata_centre = here\nregion = r\nstop_grace_seconds = 8\n"
                           "[http]\nlisten = 127.0.0.1:0\n[pages]\nlisten = 127.0.0.1:0\n"
                           "[peers]\nlisten = 127.0.0.1:0\n[store]\naddress = "
                        << store << "\n";
    return path;
}

} // namespace

soak_cluster::soak_cluster(std::size_t gateways, std::size_t servers, soak_record& record)
    : record(record),
      store_process(std::make_unique<child_process>(
          "standin-site", std::vector<std::string>{"--servers", "0", "--era", "1"})),
      store_http_address(this->store_process->address("http"))
{
    this->client.post(this->store_http_address, "/faults?page_size=1&every_version=1");
    for (std::size_t count = 0; count < servers; ++count) {
        this->add_server();
    }
    for (std::size_t count = 0; count < gateways; ++count) {
        const auto host = "g" + std::to_string(count);
        auto& row = this->gateways[host];
        row.proxy = start_proxy(this->store_http_address);
        row.proxy_control_address = row.proxy->address("http");
        row.settings_path = write_settings(host, row.proxy->address("proxy"));
        this->start_gateway(host);
    }
}

soak_cluster::~soak_cluster()
{
    for (const auto& [host, row] : this->gateways) {
        std::filesystem::remove(row.settings_path);
    }
}

std::vector<gateway_endpoint> soak_cluster::running_gateways() const
{
    std::vector<gateway_endpoint> running;
    for (const auto& [host, row] : this->gateways) {
        if (row.process != nullptr) {
            running.push_back({this->gateway_instance(host), row.address});
        }
    }
    return running;
}

std::vector<std::string> soak_cluster::hosts() const
{
    std::vector<std::string> names;
    for (const auto& [host, row] : this->gateways) {
        if (row.process != nullptr) {
            names.push_back(host);
        }
    }
    return names;
}

child_process& soak_cluster::gateway(const std::string& host)
{
    return *this->gateways.at(host).process;
}

std::string soak_cluster::gateway_instance(const std::string& host) const
{
    return host + "#" + std::to_string(this->gateways.at(host).start_count);
}

std::string soak_cluster::store_proxy_control_address(const std::string& host) const
{
    return this->gateways.at(host).proxy_control_address;
}

int soak_cluster::wait_for_gateway_exit(const std::string& host)
{
    auto& row = this->gateways.at(host);
    const int status = row.process->wait();
    row.exited_processes.push_back(std::move(row.process));
    return status;
}

bool soak_cluster::is_running(const std::string& host)
{
    return this->gateways.at(host).process->is_running();
}

void soak_cluster::start_gateway(const std::string& host)
{
    auto& row = this->gateways.at(host);
    row.process = std::make_unique<child_process>("tanager-gateway",
                                                  std::vector<std::string>{"--config", row.settings_path});
    row.address = row.process->address("http");
    ++row.start_count;
}

std::vector<std::string> soak_cluster::log_lines(const std::string& text) const
{
    std::vector<std::string> lines;
    const auto add = [&](const std::string& host, testing::child_process& process) {
        for (const auto& line : process.matching_lines(text)) {
            lines.push_back(std::string{host}.append(" ").append(line));
        }
    };
    for (const auto& [host, row] : this->gateways) {
        for (const auto& exited : row.exited_processes) {
            add(host, *exited);
        }
        if (row.process != nullptr) {
            add(host, *row.process);
        }
    }
    return lines;
}

std::vector<std::string> soak_cluster::servers() const
{
    std::vector<std::string> ids;
    for (const auto& [id, row] : this->backends) {
        ids.push_back(id);
    }
    return ids;
}

proxied_process& soak_cluster::server(const std::string& id)
{
    return this->backends.at(id);
}

std::string soak_cluster::add_server()
{
    const auto name = "s" + std::to_string(++this->last_server_number) + "-";
    proxied_process row;
    row.id = name + "0";
    row.process = std::make_unique<child_process>(
        "standin-site", std::vector<std::string>{"--servers", "1", "--prefix", name});
    row.process_address = row.process->address("servers");
    row.proxy = start_proxy(row.process_address);
    row.proxy_control_address = row.proxy->address("http");
    const auto address = row.proxy->address("proxy");
    auto id = row.id;
    this->backends.emplace(id, std::move(row));
    this->write_object("servers/" + id, [&](json& spec) {
        spec = {{"service", "desk"},
                {"address", address},
                {"zone", "here"},
                {"slots", slots},
                {"state", "ready"},
                {"born", this->last_server_number}};
    });
    return id;
}

void soak_cluster::set_server_draining(const std::string& id)
{
    this->write_object("servers/" + id, [](json& spec) { spec["state"] = "draining"; });
    this->record.draining_servers.push_back({id, std::chrono::steady_clock::now()});
}

void soak_cluster::set_server_leaving(const std::string& id)
{
    this->client.post(this->backends.at(id).process_address, "/faults?leaving=1");
}

void soak_cluster::collect_execution_counts(const std::string& id)
{
    const auto page = this->client.get(this->backends.at(id).process_address, "/runs").body;
    this->record.execution_counts[id] = json::parse(page).get<std::map<std::string, unsigned>>();
}

void soak_cluster::kill_server(const std::string& id)
{
    // Cuts the proxy first, so that no request runs after the execution counts were read.
    this->client.post(this->backends.at(id).proxy_control_address, "/faults?cut=1");
    this->collect_execution_counts(id);
    this->backends.erase(id);
}

void soak_cluster::deregister_server(const std::string& id)
{
    const auto current =
        json::parse(this->client.get(this->store_http_address, "/objects/servers/" + id).body);
    const auto revision = current.at("metadata").at("revision").get<std::uint64_t>();
    this->write({"DELETE", "/objects/servers/" + id + "?revision=" + std::to_string(revision), {}, {}});
}

child_process& soak_cluster::store()
{
    return *this->store_process;
}

std::string soak_cluster::store_address() const
{
    return this->store_http_address;
}

void soak_cluster::add_route(unsigned number)
{
    this->write_object("config/main", [&](json& spec) {
        auto added = spec["routes"][1]; // the idempotent route
        added["name"] = "extra-" + std::to_string(number);
        added["pathPrefix"] = "/extra-" + std::to_string(number) + "/";
        spec["routes"].push_back(added);
        spec["version"] = spec["version"].get<unsigned>() + 1 + number % 3;
    });
}

void soak_cluster::grow_configuration(unsigned routes)
{
    this->write_object("config/main", [&](json& spec) {
        for (unsigned number = 0; number < routes; ++number) {
            auto added = spec["routes"][1]; // the idempotent route
            added["name"] = "unused-" + std::to_string(number);
            added["pathPrefix"] = "/unused-" + std::to_string(number) + "/";
            spec["routes"].push_back(added);
        }
        spec["version"] = spec["version"].get<unsigned>() + 1;
    });
}

void soak_cluster::limit_store_link(const std::string& host, unsigned bytes_per_second)
{
    this->client.post(this->store_proxy_control_address(host),
                      "/faults?bytes_per_second=" + std::to_string(bytes_per_second));
}

void soak_cluster::write_foreign_entry(const std::string& kind, const std::string& name)
{
    const json object{{"metadata", json::object()}, {"spec", {{"of", "another writer"}}}};
    this->write({"PUT", "/objects/" + kind + "/" + encode_uri_component(name), {}, object.dump()});
}

void soak_cluster::remove_foreign_entry(const std::string& kind, const std::string& name)
{
    this->write({"DELETE", "/objects/" + kind + "/" + encode_uri_component(name), {}, {}});
}

testing::test_client& soak_cluster::platform_client()
{
    return this->client;
}

// A write whose response was lost counts as done: the store applies it before it cuts the connection.
int soak_cluster::write(const http_request& request)
{
    const auto response = this->client.start(this->store_http_address, request);
    this->client.run_until([&] { return response->is_finished(); });
    return response->response ? response->response->status : status_ok;
}

void soak_cluster::write_object(const std::string& name, const std::function<void(json&)>& edit)
{
    const auto current = this->client.get(this->store_http_address, "/objects/" + name);
    const bool is_creation = current.status != status_ok;
    const auto kind = name.substr(0, name.find('/'));
    json object = is_creation
                      ? json{{"metadata", {{"name", name.substr(kind.size() + 1)}}}, {"spec", json::object()}}
                      : json::parse(current.body);
    edit(object["spec"]);
    const auto status = this->write(
        {is_creation ? "POST" : "PUT", "/objects/" + (is_creation ? kind : name), {}, object.dump()});
    if (status != status_ok && status != status_created) {
        throw std::runtime_error("the store refused to write " + name + ", status " + std::to_string(status));
    }
}

} // namespace tanager::soak
