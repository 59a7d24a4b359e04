// Counts what each member has running on one agent, and keeps it within the member's share.
#pragma once

#include "base/invariant_monitor.h"
#include "base/types/result.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace tanager {

// What one member may run and does run here, in pieces of about 2,000 tokens.
struct member_usage {
    std::string member;
    std::uint32_t share = 0;
    std::uint32_t used = 0;

    friend bool operator==(const member_usage&, const member_usage&) = default;
};

class share_limiter {
public:
    // `capacity` is what the backend server holds at once, over all members.
    share_limiter(std::uint32_t capacity, invariant_monitor& invariants);

    // Replaces a member's share. A lower one takes effect as running work ends.
    void set_share(const std::string& member, std::uint32_t share);

    // Sets every share that is not in the list to 0.
    void set_shares(const std::vector<member_usage>& shares);

    // Returns whether the pieces fit now; agent_share_full, agent_queue_full (no capacity), or
    // request_too_large_for_pool when they never can.
    result<void> check(const std::string& member, std::uint32_t pieces) const;

    // Takes pieces that `check` allows. Fails like `check`. Work that runs alone waits until nothing else
    // runs, and holds off everything else until it gives its pieces back.
    result<void> acquire(const std::string& member, std::uint32_t pieces, bool exclusive = false);

    // Gives pieces back.
    void release(const std::string& member, std::uint32_t pieces);

    std::uint32_t capacity() const;
    std::uint32_t used() const;
    std::vector<member_usage> usage() const;

private:
    struct account {
        std::uint32_t share = 0;
        std::uint32_t used = 0;
    };

    std::uint32_t total_capacity;
    std::uint32_t total_used = 0;
    bool is_held_exclusively = false;
    invariant_monitor& invariants;
    std::map<std::string, account> accounts;
};

} // namespace tanager
