#include "membership/watcher_election.h"

#include "base/digest.h"

#include <algorithm>

namespace tanager {

bool is_elected_watcher(const std::string& host,
                        const std::vector<std::string>& peers,
                        std::size_t watcher_count)
{
    const auto own_hash = hash64(host);
    const auto lower_hash_count = std::ranges::count_if(
        peers, [&](const std::string& peer) { return peer != host && hash64(peer) < own_hash; });
    return static_cast<std::size_t>(lower_hash_count) < watcher_count;
}

} // namespace tanager
