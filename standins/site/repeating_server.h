// Fake backend server that sends some of its responses a second time on the same connection.
#pragma once

#include "net/event_loop.h"
#include "net/types/http_types.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

struct bufferevent;
struct evconnlistener;

namespace tanager::standin {

// Which responses are refusals or failures, and which of them are sent twice.
struct repeat_options {
    std::string id; // of the server
    int refused_percent = 0;
    int refusal_status = 503;
    bool refusals_name_request = true; // refusals repeat the id of the request
    int failed_percent = 0;            // of the requests that run; they get a 500
    int repeated_percent = 0;          // of refusals and failures
    // When the copy is sent; without a value it precedes the response to the next request of its connection.
    std::optional<std::chrono::milliseconds> repeat_delay;
    bool truncates_copies = false;           // half of the copy is sent, then the connection goes on
    std::optional<std::size_t> copied_bytes; // of a copy; then the connection goes on
    std::chrono::milliseconds work_time{2};
    std::uint64_t seed = 1;
};

// Speaks HTTP itself, since a library's server sends one response for each request. GET /runs returns the
// number of runs and of arrivals by request id, and how many requests have met a copy.
class repeating_server {
public:
    static std::unique_ptr<repeating_server> create(event_loop& loop, const repeat_options& options);

    ~repeating_server();
    repeating_server(const repeating_server&) = delete;
    repeating_server& operator=(const repeating_server&) = delete;
    repeating_server(repeating_server&&) = delete;
    repeating_server& operator=(repeating_server&&) = delete;

    std::string address() const;

private:
    struct connection;

    repeating_server(event_loop& loop, const repeat_options& options);

    bool listen();
    void accept(int descriptor);
    void close(const connection* closed);
    void read_requests(const std::shared_ptr<connection>& peer);
    void serve(const std::shared_ptr<connection>& peer, const http_request& request);
    void respond(const std::shared_ptr<connection>& peer, const std::string& request_id);
    void send_stream(const std::shared_ptr<connection>& peer, const std::string& request_id);
    void repeat(const std::shared_ptr<connection>& peer, const std::string& response);
    bool draw(int percent);
    std::string report() const;

    event_loop& loop;
    repeat_options options;
    std::mt19937_64 random;
    evconnlistener* listener = nullptr;
    std::vector<std::shared_ptr<connection>> connections;
    std::map<std::string, unsigned> runs;
    std::map<std::string, unsigned> arrivals;
    std::map<std::string, unsigned> met_copies;
};

} // namespace tanager::standin
