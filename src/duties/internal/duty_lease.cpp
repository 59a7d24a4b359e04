#include "duties/duty_lease.h"

#include <algorithm>
#include <utility>

namespace tanager {

namespace {

// A gateway that has just started does not know its peers yet.
constexpr std::chrono::milliseconds peer_discovery_time{3'000};
// The holder announces itself several times within this.
constexpr std::chrono::milliseconds max_holder_silence{2'000};
// Between the attempts of two gateways that could take over, so that the first one's announcement arrives.
constexpr std::chrono::milliseconds delay_between_candidates{1'500};
// Between two attempts of one gateway.
constexpr std::chrono::milliseconds delay_between_attempts{1'000};
// Part of the lease for which a holder may act after it has requested the confirmation. The rest is for its
// calls to end.
constexpr int confirmation_lease_divisor = 6;
// After a longer standstill, another gateway may already have taken over.
constexpr int standstill_lease_divisor = 2;

} // namespace

duty_lease::duty_lease(const clock& time, const duty_settings& settings)
    : time(time), settings(settings), checked_at(time.now()), started_at(time.now())
{
}

void duty_lease::record_holder(const std::string& holder, std::uint64_t token, bool is_resigning)
{
    // A message of an earlier holder may arrive late.
    if (holder == this->settings.holder || token < this->other_token) {
        return;
    }
    this->other_holder = holder;
    this->other_token = token;
    this->other_heard_at = this->time.now();
    this->has_other_resigned = is_resigning;
    if (this->is_held && token > this->token()) {
        this->step_down();
    }
}

bool duty_lease::check()
{
    const auto now = this->time.now();
    const auto gap = now - std::exchange(this->checked_at, now);
    if (gap <= this->settings.lease / standstill_lease_divisor) {
        return true;
    }
    // Announcements were not heard meanwhile.
    this->listening_since = now;
    const bool was_held = this->is_held;
    this->step_down();
    return !was_held;
}

bool duty_lease::should_acquire(const std::vector<std::string>& live_peers) const
{
    const auto now = this->time.now();
    if (this->is_held || now - this->started_at < peer_discovery_time ||
        (this->attempt_failed_at != time_point{} && now - this->attempt_failed_at < delay_between_attempts)) {
        return false;
    }
    // A known holder that is silent is no candidate: it can't be reached, or can't reach the store.
    const auto earlier = std::ranges::count_if(live_peers, [this](const auto& peer) {
        return peer < this->settings.holder && peer != this->other_holder;
    });
    auto silent_since = this->started_at + peer_discovery_time;
    if (!this->other_holder.empty()) {
        silent_since =
            this->has_other_resigned
                ? this->other_heard_at
                : std::max(silent_since - max_holder_silence, this->other_heard_at) + max_holder_silence;
    }
    silent_since = std::max(silent_since, this->listening_since + max_holder_silence);
    return now - silent_since >= earlier * delay_between_candidates;
}

void duty_lease::record_failed_attempt()
{
    this->attempt_failed_at = this->time.now();
}

void duty_lease::record_acquired(std::uint64_t version, time_point requested_at, bool was_held_here)
{
    const auto now = this->time.now();
    this->is_held = true;
    this->acquired_at = now;
    this->acts_from = was_held_here ? this->acts_from : now + this->settings.lease;
    this->record_confirmed(version, requested_at);
}

void duty_lease::record_confirmed(std::uint64_t version, time_point requested_at)
{
    this->held_version = version;
    this->confirmed_at = requested_at;
}

void duty_lease::step_down()
{
    this->is_held = false;
}

bool duty_lease::is_holder() const
{
    return this->is_held;
}

std::uint64_t duty_lease::token() const
{
    return make_fencing_token(this->held_version);
}

std::uint64_t duty_lease::version() const
{
    return this->held_version;
}

time_point duty_lease::held_since() const
{
    return this->acquired_at;
}

bool duty_lease::is_predecessor_gone() const
{
    return this->is_held && this->time.now() >= this->acts_from;
}

bool duty_lease::may_act() const
{
    return this->is_predecessor_gone() &&
           this->time.now() - this->confirmed_at <= this->settings.lease / confirmation_lease_divisor;
}

std::optional<std::string> duty_lease::holder() const
{
    if (this->is_held) {
        return this->settings.holder;
    }
    const bool is_heard = !this->other_holder.empty() && !this->has_other_resigned &&
                          this->time.now() - this->other_heard_at < max_holder_silence;
    return is_heard ? std::optional{this->other_holder} : std::nullopt;
}

} // namespace tanager
