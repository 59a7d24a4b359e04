#pragma once

#include <string>

namespace tanager {

// Counts the requests that began to run at a backend server.
class usage_recorder {
public:
    usage_recorder() = default;
    usage_recorder(const usage_recorder&) = delete;
    usage_recorder& operator=(const usage_recorder&) = delete;
    usage_recorder(usage_recorder&&) = delete;
    usage_recorder& operator=(usage_recorder&&) = delete;
    virtual ~usage_recorder() = default;

    // To be called once for each request of a caller, whatever was retried: at its first event, or at the
    // head of its response if it has no events.
    virtual void record_began(const std::string& organisation) = 0;
};

} // namespace tanager
