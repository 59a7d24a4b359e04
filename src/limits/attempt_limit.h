// Bounds how many servers one request may reach.
#pragma once

#include <cstdint>

namespace tanager {

// The only count of a request's attempts; whoever sends asks it first. An attempt counts from the moment it
// is sent, and is taken back when the server has stated that it did not run, or was never reached. Reading a
// prompt apart is free once; a further reading counts like a run.
class attempt_limit {
public:
    // `most` is the limit of the request's route; what is not repeatable has one attempt.
    attempt_limit(std::uint32_t max_attempts, bool is_repeatable);

    bool may_run() const;

    // Returns whether the prompt may be read apart and the request then run.
    bool may_prefill_and_run() const;

    void begin_run();
    void refund_run();
    void begin_prefill();
    void refund_prefill();

    // Returns the attempts that a server may have run, the one under way included.
    std::uint32_t attempts_used() const;

private:
    std::uint32_t max_attempts;
    std::uint32_t used = 0;
    std::uint32_t prefills = 0;
};

} // namespace tanager
