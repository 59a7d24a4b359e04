#pragma once

#include "logging/event_log.h"

#include <exception>
#include <string_view>

namespace tanager {

// Writes a line about an exception that a callback of the event loop has thrown.
void log_callback_failure(std::string_view source, const char* detail) noexcept;

// Runs a callback of the event loop. An exception must not leave it: libevent is C, and the exception would
// end the process with all its requests. What the callback worked on may be left incomplete, which the caller
// of this function handles if it owns that work, and which otherwise ends by its deadline. `source` names the
// kind of callback in the log. Returns whether the callback has ended without an exception.
template <class callback>
bool run_guarded(std::string_view source, const callback& work) noexcept
{
    try {
        work();
        return true;
    } catch (const std::exception& failure) {
        log_callback_failure(source, failure.what());
    } catch (...) {
        log_callback_failure(source, "not a std::exception");
    }
    return false;
}

} // namespace tanager
