// Wires one agent together.
#pragma once

#include "agent/types/agent_settings.h"
#include "base/types/result.h"
#include "net/event_loop.h"
#include "program/program_runner.h"

#include <memory>

namespace tanager {

// Starts an agent on the loop. Fails with listen_failed or address_invalid.
result<std::unique_ptr<server_process>> create_agent(event_loop& loop, const agent_settings& settings);

} // namespace tanager
