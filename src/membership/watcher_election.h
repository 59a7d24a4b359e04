// Chooses the few processes of a data centre that hold a watch on the store.
#pragma once

#include <string>
#include <vector>

namespace tanager {

// Returns whether a host is among the `watchers` first of its peers by rendezvous hashing. Every host that
// sees the same list comes to the same choice without a message; hosts with different lists may choose a few
// more.
bool is_elected_watcher(const std::string& host,
                        const std::vector<std::string>& peers,
                        std::size_t watcher_count);

} // namespace tanager
