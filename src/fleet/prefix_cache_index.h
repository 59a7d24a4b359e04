// Tracks which prompt prefixes each engine probably holds in its KV cache.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>

namespace tanager {

// Keeps the newest prefixes that were sent to each engine, up to a limit. What an engine has evicted since is
// not visible here. A prefix is given by its hash; 0 stands for no prefix.
class prefix_cache_index {
public:
    void insert(const std::string& server_id, std::uint64_t prefix_hash);

    bool contains(const std::string& server_id, std::uint64_t prefix_hash) const;

    // Drops the prefixes of servers that are no longer listed.
    void keep_only(const std::set<std::string>& listed);

private:
    struct engine_prefixes {
        std::set<std::uint64_t> hashes;
        std::deque<std::uint64_t> insertion_order; // oldest first
    };

    std::map<std::string, engine_prefixes> engines;
};

} // namespace tanager
