// Bounds retries to a fraction of a member's requests, so that they do not overload a pool that is short of
// capacity.
#pragma once

#include "base/clock.h"

#include <cstddef>
#include <map>
#include <string>

namespace tanager {

// What a process may spend on retries, for each member.
struct retry_allowance {
    double retries_per_request = 0;
    double max_balance = 0;        // in retries
    double retries_per_second = 0; // added without requests
    std::size_t gateway_count = 0; // that the allowance is a share for; 0 if that is unknown

    friend bool operator==(const retry_allowance&, const retry_allowance&) = default;
};

// One token bucket per member: each request adds a fraction of a retry.
// Load pattern: servers refuse most attempts for seconds, requests come in bursts that then stop, and
// processes restart in series. A new process may spend only what its own requests and time have added, so
// that a restart does not renew what the process before it has spent; a process with few requests still gets
// a retry now and then.
class retry_budget {
public:
    // Each bucket starts full and gets nothing but by requests.
    retry_budget(double retries_per_request, double max_balance);

    // Each bucket starts empty; that of a member that is seen late starts with what time has added.
    explicit retry_budget(const retry_allowance& allowance);

    // Applies to all buckets from now on; a larger balance is lost.
    void set_allowance(const retry_allowance& new_allowance);

    const retry_allowance& allowance() const;

    // Adds what the allowance gives for this time.
    void add_time(duration elapsed);

    void record_request(const std::string& member);

    // Returns whether the member's balance is one or more.
    bool has_retry(const std::string& member) const;

    // Spends one retry; returns false when the member's balance is below one.
    bool try_spend(const std::string& member);

    double balance(const std::string& member) const;

    // Returns the lowest balance of all members.
    double min_balance() const;

private:
    double& balance_of(const std::string& member);

    retry_allowance current_allowance;
    double unused_balance = 0; // of a member that has had no request
    std::map<std::string, double> member_balances;
};

} // namespace tanager
