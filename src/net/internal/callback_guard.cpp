#include "net/internal/callback_guard.h"

namespace tanager {

void log_callback_failure(std::string_view source, const char* detail) noexcept
{
    try {
        write_event(log_event::callback_failed, {{"source", std::string{source}}, {"detail", detail}});
    } catch (...) { // NOLINT(bugprone-empty-catch)
        // Without memory for the line, the process still goes on.
    }
}

} // namespace tanager
