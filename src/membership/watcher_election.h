// Elects the processes of a data centre that hold a watch on the store.
#pragma once

#include <string>
#include <vector>

namespace tanager {

// Returns whether a host is among the `watcher_count` lowest of itself and its peers by the hash of the host
// name (rendezvous hashing). Hosts that see the same list elect the same watchers without exchanging
// messages; hosts with different lists may elect a few more.
bool is_elected_watcher(const std::string& host,
                        const std::vector<std::string>& peers,
                        std::size_t watcher_count);

} // namespace tanager
