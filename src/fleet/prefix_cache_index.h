// Tracks which prompt prefixes each engine probably holds in its KV cache.
#pragma once

#include "fleet/types/backend_server.h"

#include <cstdint>
#include <list>
#include <map>
#include <set>
#include <string>

namespace tanager {

// Load pattern: prompts that share most of their tokens with others, sent to the same engines by several
// gateways. A gateway that does not know what the others have sent takes a prefix for cached that is not, or
// has it prefilled on a second engine.
//
// Keeps the most recently used prefixes of each engine, up to a limit. What an engine has evicted since is
// not visible here; a restart or a change of role empties its cache. A prefix is given by a 32-bit hash, as
// in load reports; 0 stands for no prefix.
class prefix_cache_index {
public:
    // Records that a prefix was sent to an engine. Returns whether it was not known to be there.
    bool insert(const backend_server& engine, std::uint32_t prefix_hash);

    // Removes a prefix that an engine has not prefilled after all.
    void remove(const backend_server& engine, std::uint32_t prefix_hash);

    bool contains(const backend_server& engine, std::uint32_t prefix_hash) const;

    // Drops the prefixes of servers that are no longer listed.
    void keep_only(const std::set<std::string>& listed);

private:
    struct engine_prefixes {
        std::list<std::uint32_t> by_last_use; // the most recent one last
        std::map<std::uint32_t, std::list<std::uint32_t>::iterator> positions;
        std::int64_t incarnation = 0;
        engine_role role = engine_role::none;
    };

    std::map<std::string, engine_prefixes> engines;
};

} // namespace tanager
