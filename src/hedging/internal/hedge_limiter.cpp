#include "hedging/hedge_limiter.h"

#include <algorithm>
#include <vector>

namespace tanager {

namespace {

// Enough for one answer in twenty, the usual limit, to be seen.
constexpr std::size_t min_samples = 20;
constexpr std::size_t max_samples = 256;
// Servers become slow and recover within seconds; older latencies say little of the present ones.
constexpr std::chrono::seconds max_sample_age{30};
// A route may save up this many hedges: a server that pauses delays several answers at once.
constexpr double max_balance = 5;
// With more slots in use, a hedge would delay requests that are about to arrive. Requests that have missed
// their objective stop at the same share.
constexpr double max_slot_usage_ratio = 0.7;
constexpr double retry_share_kept_for_failures = 0.5;
constexpr double median = 0.5;
// How the delay follows from the limit and the latencies; see the header.
constexpr double delay_share_factor = 2;
constexpr double delay_margin = 1.5;

} // namespace

std::string_view name_of(hedge_verdict verdict)
{
    switch (verdict) {
    case hedge_verdict::hedge:
        return "hedge";
    case hedge_verdict::attempts_used:
        return "attempts_used";
    case hedge_verdict::work_waiting:
        return "work_waiting";
    case hedge_verdict::servers_busy:
        return "servers_busy";
    case hedge_verdict::retries_reserved:
        return "retries_reserved";
    case hedge_verdict::too_late:
        return "too_late";
    case hedge_verdict::limit_reached:
        return "limit_reached";
    }
    return "unknown";
}

hedge_limiter::hedge_limiter(const clock& time, hedging_policy policy) : time(time), policy(std::move(policy))
{
}

void hedge_limiter::set_policy(hedging_policy new_policy)
{
    this->policy = std::move(new_policy);
}

bool hedge_limiter::applies_to(const std::string& route) const
{
    return this->policy.max_share > 0 && (this->policy.routes.empty() || this->policy.routes.contains(route));
}

void hedge_limiter::record_request(const std::string& route)
{
    auto& state = this->routes[route];
    state.balance = std::min(state.balance + this->policy.max_share, max_balance);
}

void hedge_limiter::record_latency(const std::string& route, duration latency)
{
    const auto now = this->time.now();
    auto& samples = this->routes[route].samples;
    samples.push_back({now, latency});
    while (samples.size() > max_samples || samples.front().measured_at < now - max_sample_age) {
        samples.pop_front();
    }
}

std::optional<duration> hedge_limiter::quantile(const std::string& route, double share_below) const
{
    const auto found = this->routes.find(route);
    if (found == this->routes.end()) {
        return std::nullopt;
    }
    std::vector<duration> latencies;
    latencies.reserve(found->second.samples.size());
    for (const auto& sample : found->second.samples) {
        if (sample.measured_at >= this->time.now() - max_sample_age) {
            latencies.push_back(sample.latency);
        }
    }
    if (latencies.size() < min_samples) {
        return std::nullopt;
    }
    const auto rank = std::min(static_cast<std::size_t>(share_below * static_cast<double>(latencies.size())),
                               latencies.size() - 1);
    std::ranges::nth_element(latencies, latencies.begin() + static_cast<std::ptrdiff_t>(rank));
    return latencies[rank];
}

std::optional<duration> hedge_limiter::delay(const std::string& route) const
{
    const auto usual =
        this->quantile(route, std::max(median, 1 - delay_share_factor * this->policy.max_share));
    return usual ? std::optional{std::chrono::duration_cast<duration>(delay_margin * *usual)} : std::nullopt;
}

duration hedge_limiter::usual_latency(const std::string& route) const
{
    return this->quantile(route, median).value_or(duration{0});
}

void hedge_limiter::keep_only(const std::set<std::string>& listed_routes)
{
    std::erase_if(this->routes, [&](const auto& row) { return !listed_routes.contains(row.first); });
}

hedge_verdict hedge_limiter::decide(const std::string& route, const hedge_situation& situation)
{
    if (!situation.may_run_again) {
        return hedge_verdict::attempts_used;
    }
    if (situation.time_left < situation.usual_latency) {
        return hedge_verdict::too_late;
    }
    if (situation.is_work_waiting) {
        return hedge_verdict::work_waiting;
    }
    if (situation.used_slots + 1 > max_slot_usage_ratio * situation.total_slots) {
        return hedge_verdict::servers_busy;
    }
    if (situation.retry_balance - 1 < retry_share_kept_for_failures * situation.max_retry_balance) {
        return hedge_verdict::retries_reserved;
    }
    auto& balance = this->routes[route].balance;
    if (balance < 1) {
        return hedge_verdict::limit_reached;
    }
    balance -= 1;
    return hedge_verdict::hedge;
}

} // namespace tanager
