#include "limits/fleet_retry_share.h"

#include <algorithm>

namespace tanager {

namespace {

// The rest is for gateways that are not counted yet, and for requests that reach a gateway in a later window
// than the one in which they were sent.
constexpr double used_slack_ratio = 0.8;
// The balance and what a window adds to it have equal parts of a share.
constexpr double balance_ratio = 0.5;
// A balance below one retry allows none, however many retries the requests earn.
constexpr double min_balance = 1.0;
// Gateways that start together are listed within this time.
constexpr std::chrono::seconds min_list_age{2};
// A number of gateways counts for one to two spans after it was last seen, longer than gateways are usually
// cut off.
constexpr std::chrono::minutes span{5};

} // namespace

retry_allowance share_of_fleet(const fleet_retry_bound& bound, std::optional<std::size_t> gateway_count)
{
    if (!gateway_count) {
        return {bound.retries_per_request, bound.slack >= min_balance ? min_balance : 0, 0, 0};
    }
    const auto gateways = static_cast<double>(std::max<std::size_t>(*gateway_count, 1));
    const double fair_share = bound.slack / gateways;
    if (fair_share < min_balance) {
        return {bound.retries_per_request, 0, 0, *gateway_count};
    }
    const double share = used_slack_ratio * fair_share;
    const double max_balance = std::max(balance_ratio * share, min_balance);
    const double window_seconds = std::chrono::duration<double>(bound.window).count();
    const double per_second = window_seconds > 0 ? std::max(share - max_balance, 0.0) / window_seconds : 0;
    return {bound.retries_per_request, max_balance, per_second, *gateway_count};
}

void gateway_count_tracker::record(time_point now,
                                   std::size_t live_peers,
                                   std::optional<std::size_t> listed_peers)
{
    if (!this->first_listed_at) {
        if (!listed_peers) {
            return;
        }
        this->first_listed_at = now;
        this->span_started_at = now;
    }
    if (now - this->span_started_at >= span) {
        this->previous_span = this->current_span;
        this->current_span = {};
        this->span_started_at = now;
    }
    const bool is_list_counted = now - *this->first_listed_at < span;
    const auto peers = is_list_counted ? std::max(live_peers, listed_peers.value_or(0)) : live_peers;
    if (peers + 1 >= this->current_span.count) {
        this->current_span = {peers + 1, now};
    }
}

const gateway_count_tracker::span_maximum& gateway_count_tracker::largest() const
{
    return this->previous_span.count > this->current_span.count ? this->previous_span : this->current_span;
}

std::optional<std::size_t> gateway_count_tracker::count(time_point now) const
{
    if (!this->first_listed_at || now - *this->first_listed_at < min_list_age) {
        return std::nullopt;
    }
    return this->largest().count;
}

duration gateway_count_tracker::age(time_point now) const
{
    return this->first_listed_at ? now - this->largest().seen_at : duration{0};
}

} // namespace tanager
