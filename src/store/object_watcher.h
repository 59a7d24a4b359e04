// Follows all changes of the objects under one prefix of the store by list and watch.
#pragma once

#include "base/random_source.h"
#include "net/event_loop.h"
#include "store/object_store.h"

#include <functional>
#include <memory>

namespace tanager {

// What the watcher does after a listing.
enum class watch_action {
    continue_watching, // the listing was applied; watch for further changes
    relist             // the listing leaves a gap after the known revision; list all objects again
};

// Receives listings and changes of the store's availability from a watcher.
class object_watch_handler {
public:
    object_watch_handler() = default;
    object_watch_handler(const object_watch_handler&) = delete;
    object_watch_handler& operator=(const object_watch_handler&) = delete;
    object_watch_handler(object_watch_handler&&) = delete;
    object_watch_handler& operator=(object_watch_handler&&) = delete;
    virtual ~object_watch_handler() = default;

    // Returns the last revision that was applied; the next watch starts from it.
    virtual std::uint64_t known_revision() const = 0;

    // Called for every successful list or watch call, those without changes included.
    virtual watch_action on_listing(const object_listing& listing) = 0;

    // Called on the first failed call, and on the first successful call after it.
    virtual void on_store_unavailable(const error& cause) = 0;
    virtual void on_store_recovered() = 0;
};

struct watch_options {
    // Time between a change and the next watch call, so that one call returns all changes made meanwhile:
    // otherwise each of them costs one call of every process. Delays later changes by at most this.
    std::chrono::milliseconds coalescing_delay{0};
    // Time that the store holds a watch without changes. A dead connection is detected only after it.
    std::chrono::milliseconds max_wait{20'000};
    // An incomplete list is repeated at the first response after this time, since its cause may be gone.
    std::chrono::milliseconds incomplete_list_lifetime{5'000};
};

// Lists once, then keeps one watch open. While the store is unavailable, retries from the last applied
// revision with jittered exponential backoff. Lists again if the store reports history_lost, and
// some time after a list that was incomplete.
class object_watcher {
public:
    // `loop`, `store`, `random` and `handler` must outlive the watcher.
    static std::shared_ptr<object_watcher> create(event_loop& loop,
                                                  object_store& store,
                                                  random_source& random,
                                                  std::string prefix,
                                                  object_watch_handler& handler,
                                                  const watch_options& options = {});

    object_watcher() = default;
    object_watcher(const object_watcher&) = delete;
    object_watcher& operator=(const object_watcher&) = delete;
    object_watcher(object_watcher&&) = delete;
    object_watcher& operator=(object_watcher&&) = delete;
    virtual ~object_watcher() = default;

    // Starts to list and watch; has no effect while running.
    virtual void start() = 0;

    // Ignores the result of a pending call and makes no further calls.
    virtual void stop() = 0;
};

} // namespace tanager
