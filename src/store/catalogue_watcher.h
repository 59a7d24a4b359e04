// Keeps the catalogue of this process up to date with the store.
#pragma once

#include "base/random_source.h"
#include "catalogue/catalogue.h"
#include "net/event_loop.h"
#include "store/object_store.h"

#include <memory>

namespace tanager {

// Object names of all catalogue entries start with this prefix.
inline constexpr const char* catalogue_prefix = "catalogue/";

// Lists once, then keeps one watch open. While the store is unavailable, retries with jittered exponential
// backoff; the entries received before stay in effect.
class catalogue_watcher {
public:
    // `on_store_response` is called after each successful list or watch call, before the catalogue is
    // updated. `loop`, `store`, `local_catalogue` and `random` must outlive the watcher.
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

    // Starts to list and watch; has no effect while running.
    virtual void start() = 0;

    // Stops watching; from then on the catalogue changes only through deltas from peers.
    virtual void stop() = 0;
};

} // namespace tanager
