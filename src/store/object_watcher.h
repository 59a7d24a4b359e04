// Keeps a process at the store's newest revision of the objects under one prefix.
#pragma once

#include "base/random_source.h"
#include "net/event_loop.h"
#include "store/object_store.h"

#include <functional>
#include <memory>

namespace tanager {

// What the observer made of a listing.
enum class watch_action {
    continue_watching, // it is applied; wait for what comes next
    relist             // it does not follow from what is known; ask for everything
};

// Hears what a follower learns.
class object_watch_handler {
public:
    object_watch_handler() = default;
    object_watch_handler(const object_watch_handler&) = delete;
    object_watch_handler& operator=(const object_watch_handler&) = delete;
    object_watch_handler(object_watch_handler&&) = delete;
    object_watch_handler& operator=(object_watch_handler&&) = delete;
    virtual ~object_watch_handler() = default;

    // The revision that the observer is at; what has changed since then comes next.
    virtual std::uint64_t known_revision() const = 0;

    // Every answer of the store, those without changes included.
    virtual watch_action on_listing(const object_listing& listing) = 0;

    // The first failed call, and the first answer after it.
    virtual void on_store_unavailable(const error& cause) = 0;
    virtual void on_store_recovered() = 0;
};

// How long a follower waits after a change before it watches on, so that changes that come together are told
// by one answer: each of them would otherwise cost a call of every process. It bounds how late a change is
// known.
struct watch_options {
    std::chrono::milliseconds coalescing_delay{0};
};

// Lists once, then holds one watch. While the store is away, tries again after a jittered exponential delay,
// from the revision that is known; lists again when the store has dropped the history since then.
class object_watcher {
public:
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

    // Begins to follow; calling again has no effect.
    virtual void start() = 0;
    virtual void stop() = 0;
};

} // namespace tanager
