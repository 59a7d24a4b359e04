// Keeps a process's catalogue at the store's newest revision.
#pragma once

#include "base/random_source.h"
#include "catalogue/catalogue.h"
#include "net/event_loop.h"
#include "store/object_store.h"

#include <memory>

namespace tanager {

// Everything the system stores in the catalogue lies under this prefix.
inline constexpr const char* catalogue_prefix = "catalogue/";

// Lists once, then holds one watch. While the store is away, retries after a jittered exponential delay; what
// is already known stays in force.
class catalogue_watcher {
public:
    // `read` is called each time the store has answered.
    static std::shared_ptr<catalogue_watcher> create(event_loop& loop,
                                                     object_store& store,
                                                     catalogue& local_catalogue,
                                                     random_source& random,
                                                     std::function<void()> on_store_response);

    catalogue_watcher() = default;
    catalogue_watcher(const catalogue_watcher&) = delete;
    catalogue_watcher& operator=(const catalogue_watcher&) = delete;
    catalogue_watcher(catalogue_watcher&&) = delete;
    catalogue_watcher& operator=(catalogue_watcher&&) = delete;
    virtual ~catalogue_watcher() = default;

    // Begins to follow; calling again has no effect.
    virtual void start() = 0;

    // Ends following; the catalogue then changes only through peers.
    virtual void stop() = 0;
};

} // namespace tanager
