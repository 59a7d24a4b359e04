// Keeps a process at the store's newest revision of the objects under one prefix.
#pragma once

#include "base/random_source.h"
#include "net/event_loop.h"
#include "store/object_store.h"

#include <functional>
#include <memory>

namespace tanager {

// What the observer made of a listing.
enum class follow_step {
    watch,     // it is applied; wait for what comes next
    list_again // it does not follow from what is known; ask for everything
};

// Hears what a follower learns.
class object_observer {
public:
    object_observer() = default;
    object_observer(const object_observer&) = delete;
    object_observer& operator=(const object_observer&) = delete;
    object_observer(object_observer&&) = delete;
    object_observer& operator=(object_observer&&) = delete;
    virtual ~object_observer() = default;

    // The revision that the observer is at; what has changed since then comes next.
    virtual std::uint64_t known_revision() const = 0;

    // Every answer of the store, those without changes included.
    virtual follow_step on_listing(const object_listing& listing) = 0;

    // The first failed call, and the first answer after it.
    virtual void on_store_lost(const error& cause) = 0;
    virtual void on_store_regained() = 0;
};

// How long a follower waits after a change before it watches on, so that changes that come together are told
// by one answer: each of them would otherwise cost a call of every process. It bounds how late a change is
// known.
struct follow_pace {
    std::chrono::milliseconds gather{0};
};

// Lists once, then holds one watch. While the store is away, tries again after a jittered exponential delay,
// from the revision that is known; lists again when the store has dropped the history since then.
class object_follower {
public:
    static std::shared_ptr<object_follower> create(event_loop& loop,
                                                   object_store& store,
                                                   random_source& random,
                                                   std::string prefix,
                                                   object_observer& observer,
                                                   const follow_pace& pace = {});

    object_follower() = default;
    object_follower(const object_follower&) = delete;
    object_follower& operator=(const object_follower&) = delete;
    object_follower(object_follower&&) = delete;
    object_follower& operator=(object_follower&&) = delete;
    virtual ~object_follower() = default;

    // Begins to follow; calling again has no effect.
    virtual void start() = 0;
    virtual void stop() = 0;
};

} // namespace tanager
