// Fake backend server in a process of its own, which ends when it begins to run a certain request.
#pragma once

#include "net/event_loop.h"
#include "net/http_exchange.h"
#include "standins/site/fake_backend_server.h"

#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace tanager::standin {

// How the process ends, as its clients see it.
enum class crash_mode {
    reset,  // connections are reset, new ones are refused
    close,  // connections are closed in order, new ones are refused
    silent, // nothing is answered any more, connections stay open
    midway  // connections are reset after the first part of a response, new ones are refused
};

// Which requests end the process, and how.
struct crash_options {
    // The beginning of their bodies, or, for requests without a body, a part of their paths.
    std::string body = "crash";
    std::vector<std::string> prompt_parts; // ids
    crash_mode mode = crash_mode::reset;
    std::chrono::milliseconds run_time{0}; // of a request by its body, until the process ends
};

class crashing_server {
public:
    // Under a request with one of the prompt parts the process ends when it begins to write the answer, after
    // the first event of a stream.
    crashing_server(event_loop& loop, std::string id, crash_options options);

    void serve(const std::shared_ptr<http_exchange>& exchange);

private:
    bool is_fatal(const http_request& request) const;
    bool has_crash_part(const http_request& request) const;
    void run_fatal(const std::shared_ptr<http_exchange>& exchange);
    void begin_answer(const std::shared_ptr<http_exchange>& exchange);
    void crash_after(std::chrono::milliseconds delay);
    [[noreturn]] void crash() const;

    event_loop& loop;
    fake_backend_server server;
    std::unique_ptr<loop_timer> crash_timer;
    crash_options options;
};

} // namespace tanager::standin
