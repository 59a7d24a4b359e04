// Bounds retries to a fraction of a member's requests, so that they do not overload a pool that is short of
// capacity.
#pragma once

#include <map>
#include <string>

namespace tanager {

// One token bucket per member: each request adds a fraction of a retry.
class retry_budget {
public:
    // `retries_per_request` is the fraction of requests that may be retried; `max_balance` is the size of a
    // bucket in retries. Buckets start full.
    retry_budget(double retries_per_request, double max_balance);

    void record_request(const std::string& member);

    // Spends one retry; returns false when the member's balance is below one.
    bool try_spend(const std::string& member);

private:
    double& balance_of(const std::string& member);

    double retries_per_request;
    double max_balance;
    std::map<std::string, double> balances;
};

} // namespace tanager
