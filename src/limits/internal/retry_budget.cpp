#include "limits/retry_budget.h"

#include <algorithm>

namespace tanager {

retry_budget::retry_budget(double retries_per_request, double max_balance)
    : retries_per_request(retries_per_request), max_balance(max_balance)
{
}

double& retry_budget::balance_of(const std::string& member)
{
    return this->balances.try_emplace(member, this->max_balance).first->second;
}

void retry_budget::record_request(const std::string& member)
{
    double& balance = this->balance_of(member);
    balance = std::min(balance + this->retries_per_request, this->max_balance);
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

} // namespace tanager
