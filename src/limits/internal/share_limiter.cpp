#include "limits/share_limiter.h"

#include <algorithm>

namespace tanager {

share_limiter::share_limiter(std::uint32_t capacity, invariant_monitor& invariants)
    : total_capacity(capacity), invariants(invariants)
{
}

void share_limiter::set_share(const std::string& member, std::uint32_t share)
{
    this->accounts[member].share = share;
}

void share_limiter::set_shares(const std::vector<member_usage>& shares)
{
    for (auto& [member, account] : this->accounts) {
        account.share = 0;
    }
    for (const auto& row : shares) {
        this->set_share(row.member, row.share);
    }
    std::erase_if(this->accounts,
                  [](const auto& row) { return row.second.share == 0 && row.second.used == 0; });
}

result<void> share_limiter::check(const std::string& member, std::uint32_t pieces) const
{
    const auto found = this->accounts.find(member);
    const std::uint32_t share = found == this->accounts.end() ? 0 : found->second.share;
    const std::uint32_t used = found == this->accounts.end() ? 0 : found->second.used;
    if (pieces > share || pieces > this->total_capacity) {
        return fail(result_code::request_too_large_for_pool,
                    std::to_string(pieces) + " pieces of " + member + " never fit its share of " +
                        std::to_string(share));
    }
    if (used + pieces > share) {
        return fail(result_code::agent_share_full,
                    member + " uses " + std::to_string(used) + " of its share");
    }
    if (this->total_used + pieces > this->total_capacity) {
        return fail(result_code::agent_queue_full, "the backend server is full");
    }
    return {};
}

result<void> share_limiter::acquire(const std::string& member, std::uint32_t pieces, bool exclusive)
{
    if (this->is_held_exclusively || (exclusive && this->total_used > 0)) {
        return fail(result_code::agent_queue_full, "work that must run alone holds the backend server");
    }
    auto allowed = this->check(member, pieces);
    if (!allowed) {
        return allowed;
    }
    auto& account = this->accounts[member];
    this->is_held_exclusively = exclusive;
    account.used += pieces;
    this->total_used += pieces;
    this->invariants.check(account.used <= account.share, invariant::share_never_exceeded, member);
    return {};
}

void share_limiter::release(const std::string& member, std::uint32_t pieces)
{
    auto& account = this->accounts[member];
    const bool holds_enough = account.used >= pieces && this->total_used >= pieces;
    this->invariants.check(
        holds_enough, invariant::share_never_exceeded, member + " releases more pieces than it holds");
    account.used -= std::min(account.used, pieces);
    this->total_used -= std::min(this->total_used, pieces);
    this->is_held_exclusively = this->is_held_exclusively && this->total_used > 0;
}

std::uint32_t share_limiter::capacity() const
{
    return this->total_capacity;
}

std::uint32_t share_limiter::used() const
{
    return this->total_used;
}

std::vector<member_usage> share_limiter::usage() const
{
    std::vector<member_usage> rows;
    for (const auto& [member, account] : this->accounts) {
        rows.push_back({member, account.share, account.used});
    }
    return rows;
}

} // namespace tanager
