// Remembers which shared prompt parts each engine was given.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>

namespace tanager {

// A bounded memory of the newest parts by engine; what an engine has dropped since is not known here.
class prefix_cache_index {
public:
    void insert(const std::string& server_id, std::uint64_t prefix_hash);

    bool contains(const std::string& server_id, std::uint64_t prefix_hash) const;

    // Drops what is known of servers that are not in the list any more.
    void keep_only(const std::set<std::string>& listed);

private:
    struct engine_prefixes {
        std::set<std::uint64_t> hashes;
        std::deque<std::uint64_t> insertion_order; // oldest first
    };

    std::map<std::string, engine_prefixes> engines;
};

} // namespace tanager
