// The newest claim window that an agent has heard of, by shard.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>

namespace tanager {

// Claims of the newest window and of the one before it stand in the store; older ones are forgotten there, so
// a dispatch under them might be a second run.
class claim_window_tracker {
public:
    void record(const std::string& shard, std::uint64_t window)
    {
        auto& newest = this->newest_by_shard[shard];
        newest = std::max(newest, window);
    }

    // Returns whether work claimed in a window may still run. Work without a claim always may.
    bool accepts(const std::string& shard, std::uint64_t window) const
    {
        const auto found = this->newest_by_shard.find(shard);
        return window == 0 || found == this->newest_by_shard.end() || window + 1 >= found->second;
    }

private:
    std::map<std::string, std::uint64_t> newest_by_shard;
};

} // namespace tanager
