#pragma once

namespace tanager {

// Exit codes of every program.
enum class exit_code : int {
    success = 0,
    failure = 1,
    usage = 2,
    settings_invalid = 3,
    start_failed = 4,
    conflict = 5,
    unavailable = 6,
};

} // namespace tanager
