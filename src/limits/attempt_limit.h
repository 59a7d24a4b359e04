// Bounds the attempts of one request.
#pragma once

#include <cstdint>

namespace tanager {

// The only counter of a request's attempts; it is checked before each attempt. An attempt counts as soon as
// it is sent, and is refunded when the server reports that it did not run or was never reached. The first
// prefill on a separate engine is not counted; each further one counts like a run.
class attempt_limit {
public:
    // `max_attempts` is the limit of the request's route; a request that is not repeatable has at most one.
    attempt_limit(std::uint32_t max_attempts, bool is_repeatable);

    bool may_run() const;

    // Returns whether the limit allows a prefill on a separate engine and then a run.
    bool may_prefill_and_run() const;

    // Returns whether a prefill has begun that was not refunded; a further one is an arrival besides its run.
    bool has_prefilled() const;

    void begin_run();
    void refund_run();
    void begin_prefill();
    void refund_prefill();

    // Returns the number of counted attempts, including the current one.
    std::uint32_t attempts_used() const;

private:
    std::uint32_t max_attempts;
    std::uint32_t used = 0;
    std::uint32_t prefills = 0;
};

} // namespace tanager
