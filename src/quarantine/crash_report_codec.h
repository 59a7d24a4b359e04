// Converts crash reports to and from protocol messages.
#pragma once

#include "quarantine/crash_history.h"

#include <tanager.pb.h>

namespace tanager {

// Appends the newest reports of a history to the `crashes` field of a message.
template <class message_type>
void append_crash_reports(const crash_history& history, message_type& message)
{
    for (const auto& report : history.recent()) {
        auto* const row = message.add_crashes();
        row->set_crash(report.crash);
        row->set_fingerprint(report.fingerprint);
    }
}

// Records the reports of a message. Returns whether any was new.
template <class message_type>
bool record_crash_reports(const message_type& message, crash_history& history)
{
    bool any_new = false;
    for (const auto& row : message.crashes()) {
        any_new = history.record({row.crash(), row.fingerprint()}) || any_new;
    }
    return any_new;
}

} // namespace tanager
