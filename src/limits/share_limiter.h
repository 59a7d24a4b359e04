// Keeps what each member runs on one agent within the member's share.
#pragma once

#include "base/invariant_monitor.h"
#include "base/types/result.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace tanager {

// A member's share on this agent and how much of it is used, in pieces of about 2,000 tokens.
struct member_usage {
    std::string member;
    std::uint32_t share = 0;
    std::uint32_t used = 0;

    friend bool operator==(const member_usage&, const member_usage&) = default;
};

class share_limiter {
public:
    // `capacity` is the number of pieces that the backend server runs at once, over all members.
    share_limiter(std::uint32_t capacity, invariant_monitor& invariants);

    // Replaces a member's share. Running attempts keep the pieces that exceed a lowered share until they end.
    void set_share(const std::string& member, std::uint32_t share);

    // Replaces all shares; members that are not in the list get a share of 0. Ignores `used`.
    void set_shares(const std::vector<member_usage>& shares);

    // Checks whether the pieces fit now. Fails with agent_share_full, with agent_queue_full when the capacity
    // is used up, or with request_too_large_for_pool when they exceed the share or the capacity.
    result<void> check(const std::string& member, std::uint32_t pieces) const;

    // Acquires the pieces. Fails like `check`. An exclusive attempt acquires only while nothing else runs,
    // and every other acquisition fails with agent_queue_full until it releases its pieces.
    result<void> acquire(const std::string& member, std::uint32_t pieces, bool exclusive = false);

    // Returns acquired pieces.
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
