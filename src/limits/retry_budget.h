// Bounds retries to a fraction of a member's requests, so that a short pool is not buried in them.
#pragma once

#include <map>
#include <string>

namespace tanager {

// A token bucket a member: each request earns a fraction of a retry.
class retry_budget {
public:
    // `earned_per_request` is the share of requests that may be retried; `reserve` is what a quiet member may
    // spend at once, in retries.
    retry_budget(double retries_per_request, double max_balance);

    void record_request(const std::string& member);

    // Takes one retry; returns false when the member has spent its budget.
    bool try_spend(const std::string& member);

private:
    double& balance_of(const std::string& member);

    double retries_per_request;
    double max_balance;
    std::map<std::string, double> balances;
};

} // namespace tanager
