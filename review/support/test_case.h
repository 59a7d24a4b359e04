// The frame of a case: a store, a record, and the address of the gateway that the script starts.
#pragma once

#include "object_store.h"

#include <fstream>
#include <set>

namespace review {

// Writes what was sent, answered and run, one line each.
class case_record {
public:
    explicit case_record(const std::string& path);

    void write(const std::string& who, const std::string& what);

private:
    std::mutex mutex;
    std::ofstream file;
};

// A backend server. It answers 421 to requests for another server and passes the rest to its handler, which
// returns whether the connection stays open.
class backend_server {
public:
    using handler =
        std::function<bool(backend_server& server, connection& peer, const http_message& request)>;

    backend_server(case_record& record, std::string id, handler serve);

    const std::string& id() const;
    std::string address() const;
    void stop();

    // Returns the entry of this server in the store; `further` is appended to its fields.
    std::string
    entry(const std::string& service, const std::string& state, const std::string& further = {}) const;
    // Counts a run of a request and writes it to the record.
    void begin_run(const http_message& request);
    // Returns the ids of the requests that ran here, in their order.
    std::vector<std::string> runs();

private:
    void serve_all(connection& peer);

    case_record& record;
    std::string name;
    handler serve;
    std::mutex mutex;
    std::vector<std::string> run_ids;
    listener port;
};

// Returns the headers that a server's answer to a request carries.
std::string answer_headers(const http_message& request);

struct test_case {
    object_store& store;
    case_record& record;
    bool has_trouble = true;
    std::vector<std::unique_ptr<backend_server>> servers;

    // Starts the gateway through the script and returns its address for callers once it is ready.
    std::function<std::string()> start_gateway;

    // Starts a server and writes its entry to the store.
    backend_server& add_server(const std::string& service,
                               const std::string& id,
                               backend_server::handler serve,
                               const std::string& further_fields = {});
};

enum class verdict { held, broken, not_run };

// Runs a case; the arguments of the program are its work folder and the file for the record.
int run_case(int argc, char** argv, const std::function<verdict(test_case&)>& play);

} // namespace review
