// Code shared by all stand-in programs.
#pragma once

#include "net/event_loop.h"
#include "net/http_server.h"

#include <functional>
#include <memory>
#include <string>

namespace tanager::standin {

// Opens the event log and creates an event loop. Exits the process on failure.
std::unique_ptr<event_loop> init_standin(const std::string& name);

// Listens and writes the bound address to the log. Exits the process on failure.
std::unique_ptr<http_server>
listen_or_exit(event_loop& loop, const std::string& address, http_server::handler serve);

// Runs the loop until SIGTERM or SIGINT; returns the exit code.
int run_until_terminated(event_loop& loop);

} // namespace tanager::standin
