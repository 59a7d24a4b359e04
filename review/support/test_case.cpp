#include "test_case.h"

#include <cstdlib>
#include <exception>
#include <filesystem>
#include <iomanip>
#include <iostream>
#include <thread>
#include <unistd.h>

namespace review {

namespace {

constexpr int exit_held = 0;
constexpr int exit_broken = 1;
constexpr int exit_not_run = 2;
constexpr int status_misdirected = 421;
constexpr int status_ok = 200;
constexpr std::chrono::seconds start_timeout{20};
constexpr std::chrono::milliseconds poll_interval{50};
// A case that hangs is ended by SIGALRM before the 120 seconds of a script are over.
constexpr unsigned max_seconds = 105;

void write_file(const std::string& path, const std::string& text)
{
    std::ofstream(path + ".new") << text << '\n';
    std::filesystem::rename(path + ".new", path);
}

std::string read_line_of(const std::string& path)
{
    std::ifstream file(path);
    std::string line;
    std::getline(file, line);
    return line;
}

bool is_ready(const std::string& pages)
{
    const auto peer = connection::open(pages);
    bool is_complete = false;
    if (peer == nullptr || !peer->send("GET /ready HTTP/1.1\r\nHost: pages\r\nConnection: close\r\n\r\n")) {
        return false;
    }
    const auto response = peer->read_response(is_complete);
    return response && response->status() == status_ok;
}

// The script waits for the file `store`, starts the gateway and writes its addresses to the file `gateway`.
std::string start_gateway(const std::string& folder, const std::string& store)
{
    write_file(folder + "/store", store);
    const auto deadline = std::chrono::steady_clock::now() + start_timeout;
    while (std::chrono::steady_clock::now() < deadline) {
        std::this_thread::sleep_for(poll_interval);
        const auto addresses = read_line_of(folder + "/gateway");
        const auto blank = addresses.find(' ');
        if (blank != std::string::npos && is_ready(addresses.substr(blank + 1))) {
            return addresses.substr(0, blank);
        }
    }
    throw std::runtime_error("the gateway has not become ready");
}

int to_exit_code(verdict found)
{
    switch (found) {
    case verdict::held:
        return exit_held;
    case verdict::broken:
        return exit_broken;
    case verdict::not_run:
        return exit_not_run;
    }
    return exit_not_run;
}

} // namespace

case_record::case_record(const std::string& path) : file(path) {}

void case_record::write(const std::string& who, const std::string& what)
{
    const std::lock_guard lock(this->mutex);
    constexpr int time_width = 6;
    this->file << std::setw(time_width) << elapsed_ms() << " ms  " << who << "  " << what << std::endl;
}

backend_server::backend_server(case_record& record, std::string id, handler serve)
    : record(record),
      name(std::move(id)),
      serve(std::move(serve)),
      port([this](connection& peer) { this->serve_all(peer); })
{
}

const std::string& backend_server::id() const
{
    return this->name;
}

std::string backend_server::address() const
{
    return this->port.address();
}

void backend_server::stop()
{
    this->port.stop();
}

std::string
backend_server::entry(const std::string& service, const std::string& state, const std::string& further) const
{
    return R"({"service":")" + service + R"(","address":")" + this->address() +
           R"(","zone":"here","version":"1","slots":6,"state":")" + state +
           R"(","coldRemainingMs":0,"sequence":1,"born":1000)" + further + "}";
}

void backend_server::begin_run(const http_message& request)
{
    const auto id = request.header_or("Attempt-Id", "(none)");
    this->record.write(this->name, "runs " + id + ": " + request.start_line);
    const std::lock_guard lock(this->mutex);
    this->run_ids.push_back(id);
}

std::vector<std::string> backend_server::runs()
{
    const std::lock_guard lock(this->mutex);
    return this->run_ids;
}

void backend_server::serve_all(connection& peer)
{
    while (const auto request = peer.read_request()) {
        const auto expected = request->header_or("Expect-Instance", this->name);
        if (expected != this->name) {
            peer.send(make_response(status_misdirected, "Instance-Id: " + this->name + "\r\n", {}));
            continue;
        }
        if (!this->serve(*this, peer, *request)) {
            return;
        }
    }
}

std::string answer_headers(const http_message& request)
{
    const auto id = request.header_or("Attempt-Id", {});
    return "Attempt-Id: " + id + "\r\nResponse-Seal: seal-of-" + id + "\r\n";
}

backend_server& test_case::add_server(const std::string& service,
                                      const std::string& id,
                                      backend_server::handler serve,
                                      const std::string& further_fields)
{
    this->servers.push_back(std::make_unique<backend_server>(this->record, id, std::move(serve)));
    auto& server = *this->servers.back();
    this->store.put("servers/" + id, server.entry(service, "ready", further_fields));
    return server;
}

int run_case(int argc, char** argv, const std::function<verdict(test_case&)>& play)
{
    const std::vector<std::string> arguments(argv, argv + argc); // NOLINT(*-pointer-arithmetic)
    if (arguments.size() != 3) {
        std::cerr << "usage: " << arguments.front() << " WORK_FOLDER RECORD\n";
        return exit_not_run;
    }
    const char* const trouble = std::getenv("TROUBLE"); // NOLINT(concurrency-mt-unsafe)
    elapsed_ms();
    alarm(max_seconds);
    // These live until the process ends, since threads of open connections use them.
    static object_store store;
    static case_record record(arguments[2]);
    static test_case test{store, record, trouble == nullptr || std::string{trouble} != "0", {}, {}};
    test.start_gateway = [&arguments] {
        return start_gateway(arguments[1], store.address());
    };
    record.write("case", test.has_trouble ? "with the disruption" : "without the disruption");
    int code = exit_not_run;
    try {
        code = to_exit_code(play(test));
    } catch (const std::exception& failure) {
        record.write("case", std::string{"could not run: "} + failure.what());
    }
    record.write("case", "exit code " + std::to_string(code));
    std::_Exit(code);
}

} // namespace review
