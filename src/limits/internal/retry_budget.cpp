#include "limits/retry_budget.h"

#include <algorithm>

namespace tanager {

retry_budget::retry_budget(double retries_per_request, double max_balance)
    : current_allowance{retries_per_request, max_balance}, unused_balance(max_balance)
{
}

retry_budget::retry_budget(const retry_allowance& allowance) : current_allowance(allowance) {}

void retry_budget::set_allowance(const retry_allowance& new_allowance)
{
    this->current_allowance = new_allowance;
    this->unused_balance = std::min(this->unused_balance, new_allowance.max_balance);
    for (auto& [member, balance] : this->member_balances) {
        balance = std::min(balance, new_allowance.max_balance);
    }
}

const retry_allowance& retry_budget::allowance() const
{
    return this->current_allowance;
}

void retry_budget::add_time(duration elapsed)
{
    const double added =
        this->current_allowance.retries_per_second * std::chrono::duration<double>(elapsed).count();
    const double max_balance = this->current_allowance.max_balance;
    this->unused_balance = std::min(this->unused_balance + added, max_balance);
    for (auto& [member, balance] : this->member_balances) {
        balance = std::min(balance + added, max_balance);
    }
}

double& retry_budget::balance_of(const std::string& member)
{
    return this->member_balances.try_emplace(member, this->unused_balance).first->second;
}

void retry_budget::record_request(const std::string& member)
{
    double& balance = this->balance_of(member);
    balance =
        std::min(balance + this->current_allowance.retries_per_request, this->current_allowance.max_balance);
}

bool retry_budget::has_retry(const std::string& member) const
{
    return this->balance(member) >= 1.0;
}

bool retry_budget::try_spend(const std::string& member)
{
    double& balance = this->balance_of(member);
    if (balance < 1.0) {
        return false;
    }
    balance -= 1.0;
    return true;
}

double retry_budget::balance(const std::string& member) const
{
    const auto found = this->member_balances.find(member);
    return found == this->member_balances.end() ? this->unused_balance : found->second;
}

double retry_budget::min_balance() const
{
    double lowest = this->unused_balance;
    for (const auto& [member, balance] : this->member_balances) {
        lowest = std::min(lowest, balance);
    }
    return lowest;
}

} // namespace tanager
