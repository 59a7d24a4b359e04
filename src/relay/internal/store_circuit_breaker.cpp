#include "relay/store_circuit_breaker.h"

#include <algorithm>
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
// A store that answers takes a few milliseconds; a list of the largest objects may take many times as long.
constexpr std::chrono::milliseconds max_exclusive_probe_time{1'000};

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

bool store_circuit_breaker::is_probing() const
{
    return this->current_probe > 0 && this->time.now() - this->probe_started_at < max_exclusive_probe_time;
}

time_point store_circuit_breaker::probe_due_at(urgency wanted) const
{
    switch (wanted) {
    case urgency::starting:
        return this->starting_probe_at;
    case urgency::urgent:
        return this->urgent_probe_at;
    default:
        return this->relaxed_probe_at;
    }
}

std::optional<std::size_t> store_circuit_breaker::choose_probe(const std::vector<waiting_call>& waiting) const
{
    const bool is_due = std::ranges::any_of(waiting, [this](const waiting_call& call) {
        return this->time.now() >= this->probe_due_at(call.wanted);
    });
    if (!this->is_open() || this->is_probing() || !is_due) {
        return std::nullopt;
    }
    const auto last_probe = [this](const waiting_call& call) {
        const auto record = this->feeds.find(call.feed);
        return record == this->feeds.end() ? 0 : record->second.last_probe;
    };
    const auto chosen = std::ranges::min_element(waiting, {}, last_probe);
    return static_cast<std::size_t>(chosen - waiting.begin());
}

store_circuit_breaker::store_call store_circuit_breaker::begin_call(const std::string& feed)
{
    if (!this->is_open()) {
        return {feed, 0};
    }
    this->current_probe = this->feeds[feed].last_probe = ++this->probe_count;
    this->probe_started_at = this->time.now();
    return {feed, this->current_probe};
}

void store_circuit_breaker::end_probe(const store_call& call)
{
    if (call.is_probe() && call.probe == this->current_probe) {
        this->current_probe = 0;
    }
}

void store_circuit_breaker::record_answer(const store_call& call)
{
    ++this->answer_count;
    this->feeds[call.feed].has_failed = false;
    this->failures_in_row = 0;
    this->end_probe(call);
}

// The first probe is due at once: a store that cuts off all watches may answer the next call.
void store_circuit_breaker::record_failure(const store_call& call)
{
    const bool was_current_probe = call.is_probe() && call.probe == this->current_probe;
    this->end_probe(call);
    auto& feed = this->feeds[call.feed];
    const bool is_answered_elsewhere = feed.has_failed && this->answer_count > feed.answers_at_failure;
    feed.has_failed = true;
    feed.answers_at_failure = this->answer_count;
    if (!this->is_open() && !is_answered_elsewhere) {
        ++this->failures_in_row;
        this->last_opened_at = this->starting_probe_at = this->urgent_probe_at = this->relaxed_probe_at =
            this->time.now();
    }
    if (was_current_probe) {
        const auto now = this->time.now();
        this->starting_probe_at =
            now + draw_delay(min_starting_delay, starting_delay_spread_ms, this->random);
        this->urgent_probe_at = now + draw_delay(min_urgent_delay, urgent_delay_spread_ms, this->random);
        this->relaxed_probe_at = now + draw_delay(min_relaxed_delay, relaxed_delay_spread_ms, this->random);
    }
}

} // namespace tanager
