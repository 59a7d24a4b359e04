// Tracks the newest claim window of each shard that entries have reported to an agent.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>

namespace tanager {

// The store keeps the claims of the newest window and of the one before it. Older claims are deleted there,
// so an attempt dispatched under one of them could be a second run of the same request.
class claim_window_tracker {
public:
    void record(const std::string& shard, std::uint64_t window)
    {
        auto& newest = this->newest_by_shard[shard];
        newest = std::max(newest, window);
    }

    // Returns whether an attempt claimed in `window` may still run. An attempt without a claim (window 0)
    // always may, and so may any attempt of a shard for which no window has been recorded.
    bool accepts(const std::string& shard, std::uint64_t window) const
    {
        const auto found = this->newest_by_shard.find(shard);
        return window == 0 || found == this->newest_by_shard.end() || window + 1 >= found->second;
    }

private:
    std::map<std::string, std::uint64_t> newest_by_shard;
};

} // namespace tanager
