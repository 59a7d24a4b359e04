#pragma once

#include <chrono>
#include <functional>
#include <string>

namespace tanager {

// Calls `try_bind` until it returns true, for at most `max_wait`, and sleeps in between. Meant for the start
// of a program, before its loop runs: the predecessor on the same address may still be ending. Ends early
// when SIGTERM is pending. Returns whether `try_bind` has succeeded. `address` is for the log.
bool bind_with_retry(const std::string& address,
                     std::chrono::milliseconds max_wait,
                     const std::function<bool()>& try_bind);

} // namespace tanager
