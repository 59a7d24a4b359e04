#include "relay/store_circuit_breaker.h"

#include <cstdint>

namespace tanager {

namespace {

// A single call may be cut off by a store that answers.
constexpr unsigned failures_to_open = 2;
// While a gateway starts, its callers are served by nobody if all gateways started in the same outage.
constexpr std::chrono::milliseconds min_starting_delay{100};
constexpr std::uint64_t starting_delay_spread_ms = 100;
constexpr std::chrono::milliseconds min_urgent_delay{300};
constexpr std::uint64_t urgent_delay_spread_ms = 300;
// Peers pass all changes on meanwhile, and others are elected to watch.
constexpr std::chrono::milliseconds min_relaxed_delay{1'500};
constexpr std::uint64_t relaxed_delay_spread_ms = 1'000;

std::chrono::milliseconds
draw_delay(std::chrono::milliseconds shortest, std::uint64_t spread_ms, random_source& random)
{
    return shortest + std::chrono::milliseconds{static_cast<std::int64_t>(random.next() % spread_ms)};
}

} // namespace

store_circuit_breaker::store_circuit_breaker(const clock& time, random_source& random)
    : time(time), random(random)
{
}

bool store_circuit_breaker::is_open() const
{
    return this->failures_in_row >= failures_to_open;
}

time_point store_circuit_breaker::opened_at() const
{
    return this->last_opened_at;
}

bool store_circuit_breaker::may_call(urgency wanted) const
{
    auto probe_at = wanted == urgency::urgent ? this->urgent_probe_at : this->relaxed_probe_at;
    if (wanted == urgency::starting) {
        probe_at = this->starting_probe_at;
    }
    return !this->is_open() || (!this->is_probing && this->time.now() >= probe_at);
}

bool store_circuit_breaker::begin_call()
{
    if (!this->is_open() || this->is_probing) {
        return false;
    }
    this->is_probing = true;
    return true;
}

void store_circuit_breaker::record_answer(bool was_probe)
{
    this->failures_in_row = 0;
    this->is_probing = this->is_probing && !was_probe;
}

// The first probe is due at once: a store that cuts off all watches may answer the next call.
void store_circuit_breaker::record_failure(bool was_probe)
{
    this->is_probing = this->is_probing && !was_probe;
    if (!this->is_open()) {
        ++this->failures_in_row;
        this->last_opened_at = this->starting_probe_at = this->urgent_probe_at = this->relaxed_probe_at =
            this->time.now();
    }
    if (was_probe) {
        const auto now = this->time.now();
        this->starting_probe_at =
            now + draw_delay(min_starting_delay, starting_delay_spread_ms, this->random);
        this->urgent_probe_at = now + draw_delay(min_urgent_delay, urgent_delay_spread_ms, this->random);
        this->relaxed_probe_at = now + draw_delay(min_relaxed_delay, relaxed_delay_spread_ms, this->random);
    }
}

} // namespace tanager
