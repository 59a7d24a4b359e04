// What every stand-in program has in common.
#pragma once

#include "net/event_loop.h"
#include "net/http_server.h"

#include <functional>
#include <memory>
#include <string>

namespace tanager::standin {

// Starts logging and a loop; ends the process when that fails.
std::unique_ptr<event_loop> init_standin(const std::string& name);

// Listens and announces the address in the log; ends the process when that fails.
std::unique_ptr<http_server>
listen_or_exit(event_loop& loop, const std::string& address, http_server::handler serve);

// Serves until SIGTERM.
int run_until_terminated(event_loop& loop);

} // namespace tanager::standin
