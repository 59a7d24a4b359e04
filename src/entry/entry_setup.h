// Creates an entry from its components.
#pragma once

#include "base/types/result.h"
#include "entry/types/entry_settings.h"
#include "net/event_loop.h"
#include "program/program_runner.h"

#include <memory>

namespace tanager {

// Creates an entry that listens on the loop. Fails with listen_failed or address_invalid.
result<std::unique_ptr<server_process>> create_entry(event_loop& loop, const entry_settings& settings);

} // namespace tanager
