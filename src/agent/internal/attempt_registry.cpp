#include "agent/attempt_registry.h"

#include <algorithm>

namespace tanager {

attempt_registry::attempt_registry(const clock& time, duration retention, invariant_monitor& invariants)
    : time(time), retention(retention), invariants(invariants)
{
}

attempt_registry::attempt_state* attempt_registry::find(const attempt_id& attempt)
{
    const auto entry = this->entries.find(attempt.entry_incarnation);
    if (entry == this->entries.end()) {
        return nullptr;
    }
    const auto found = entry->second.attempts.find(attempt.sequence);
    return found == entry->second.attempts.end() ? nullptr : &found->second;
}

void attempt_registry::record(const attempt_id& attempt, attempt_state state)
{
    this->entries[attempt.entry_incarnation].attempts[attempt.sequence] = state;
    this->by_age.push_back({attempt, this->time.now()});
}

result<void> attempt_registry::register_attempt(const attempt_id& attempt)
{
    if (const auto* const state = this->find(attempt)) {
        const auto code =
            *state == attempt_state::not_run ? result_code::attempt_cancelled : result_code::attempt_repeated;
        return fail(code, to_text(attempt));
    }
    const auto entry = this->entries.find(attempt.entry_incarnation);
    const bool may_be_expired =
        entry != this->entries.end() && attempt.sequence <= entry->second.max_expired_sequence;
    if (may_be_expired) {
        return fail(result_code::attempt_repeated, to_text(attempt) + " is older than what is remembered");
    }
    this->record(attempt, attempt_state::admitted);
    return {};
}

bool attempt_registry::try_mark_dispatched(const attempt_id& attempt)
{
    auto* const state = this->find(attempt);
    const bool is_repeated = state != nullptr && *state == attempt_state::dispatched;
    this->invariants.check(!is_repeated, invariant::attempt_runs_once, to_text(attempt));
    const bool may_run = state != nullptr && *state == attempt_state::admitted;
    if (may_run) {
        *state = attempt_state::dispatched;
    }
    return may_run;
}

void attempt_registry::mark_refused(const attempt_id& attempt)
{
    auto* const state = this->find(attempt);
    const bool never_ran = state == nullptr || *state != attempt_state::dispatched;
    this->invariants.check(never_ran, invariant::not_run_never_ran, to_text(attempt));
    if (state != nullptr && never_ran) {
        *state = attempt_state::not_run;
    }
}

bool attempt_registry::prevent_execution(const attempt_id& attempt)
{
    if (auto* const state = this->find(attempt)) {
        if (*state == attempt_state::dispatched) {
            return false;
        }
        *state = attempt_state::not_run;
        return true;
    }
    const auto entry = this->entries.find(attempt.entry_incarnation);
    const bool was_never_registered =
        entry == this->entries.end() || attempt.sequence > entry->second.max_expired_sequence;
    if (!was_never_registered) {
        return false;
    }
    this->record(attempt, attempt_state::not_run);
    return true;
}

void attempt_registry::remove_expired()
{
    const auto now = this->time.now();
    while (!this->by_age.empty() && now - this->by_age.front().recorded_at > this->retention) {
        const attempt_id oldest = this->by_age.front().attempt;
        this->by_age.pop_front();
        auto& entry = this->entries[oldest.entry_incarnation];
        entry.attempts.erase(oldest.sequence);
        entry.max_expired_sequence = std::max(entry.max_expired_sequence, oldest.sequence);
    }
}

std::size_t attempt_registry::size() const
{
    return this->by_age.size();
}

} // namespace tanager
