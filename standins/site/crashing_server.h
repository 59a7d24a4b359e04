// Fake backend server in a process of its own, which ends when it begins to run a certain request.
#pragma once

#include "net/event_loop.h"
#include "net/http_exchange.h"
#include "standins/site/fake_backend_server.h"

#include <memory>
#include <string>
#include <vector>

namespace tanager::standin {

// How the process ends, as its clients see it.
enum class crash_mode {
    reset, // connections are reset, new ones are refused
    close, // connections are closed in order, new ones are refused
    silent // nothing is answered any more, connections stay open
};

class crashing_server {
public:
    // The process ends when it receives a request whose body is `crash_body`, or, for requests without a
    // body, whose path contains it. It also ends when it begins to write the answer to a request whose prompt
    // has one of `crash_parts`, after the first event of a stream.
    crashing_server(event_loop& loop,
                    std::string id,
                    std::string crash_body,
                    std::vector<std::string> crash_parts,
                    crash_mode mode);

    void serve(const std::shared_ptr<http_exchange>& exchange);

private:
    bool has_crash_part(const http_request& request) const;
    void begin_answer(const std::shared_ptr<http_exchange>& exchange);
    [[noreturn]] void crash() const;

    event_loop& loop;
    fake_backend_server server;
    std::unique_ptr<loop_timer> crash_timer;
    std::string crash_body;
    std::vector<std::string> crash_parts;
    crash_mode mode;
};

} // namespace tanager::standin
