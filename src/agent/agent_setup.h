// Builds the agent process from its settings.
#pragma once

#include "agent/types/agent_settings.h"
#include "base/types/result.h"
#include "net/event_loop.h"
#include "program/program_runner.h"

#include <memory>

namespace tanager {

// Creates an agent that listens and runs on `loop`. Fails with listen_failed, or with address_invalid for a
// malformed address.
result<std::unique_ptr<server_process>> create_agent(event_loop& loop, const agent_settings& settings);

} // namespace tanager
