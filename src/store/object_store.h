// The part of the platform's object API that the system uses.
#pragma once

#include "base/types/result.h"
#include "store/types/stored_object.h"

#include <chrono>
#include <functional>

namespace tanager {

// All calls are asynchronous; callbacks run on the event loop. Errors are store_unavailable,
// store_call_rejected (the store does not accept the form of the call), version_conflict, object_unknown,
// from `list` and `get`, store_answer_malformed, or, from `watch`, history_lost: the changes after `since`
// were dropped, cannot be parsed or are longer than a list, or `since` is of an earlier era. After
// store_unavailable a write may nevertheless have taken effect.
//
// Versions and revisions rise over the eras of the store (see store/types/fencing_token.h), so that those of
// a store that came back from a copy are higher than any before. The eras of answers never fall.
class object_store {
public:
    object_store() = default;
    object_store(const object_store&) = delete;
    object_store& operator=(const object_store&) = delete;
    object_store(object_store&&) = delete;
    object_store& operator=(object_store&&) = delete;
    virtual ~object_store() = default;

    using listing_callback = std::function<void(const result<object_listing>&)>;
    using object_callback = std::function<void(const result<stored_object>&)>;
    using version_callback = std::function<void(const result<std::uint64_t>&)>;

    // Lists the objects under a prefix. The listing is incomplete if an object cannot be read and the list
    // does not go on after it.
    virtual void list(const std::string& prefix, listing_callback callback) = 0;

    // Long-polls for changes under a prefix after revision `since`. The listing is empty if nothing changes
    // for `max_wait`, or for the longest time that the store holds a watch.
    virtual void watch(const std::string& prefix,
                       std::uint64_t since,
                       std::chrono::milliseconds max_wait,
                       listing_callback callback) = 0;

    virtual void get(const std::string& name, object_callback callback) = 0;

    // Writes an object if its current version is `expected`; 0 requires that no object exists. Returns the
    // new version.
    virtual void put(const std::string& name,
                     const std::string& value,
                     std::uint64_t expected,
                     version_callback callback) = 0;

    // Removes an object if its current version is `expected`.
    virtual void remove(const std::string& name, std::uint64_t expected, version_callback callback) = 0;

    // Returns the highest era that an answer has stated to this process; 0 before the first one, and for a
    // store that states none.
    virtual std::uint64_t known_era() const = 0;
};

// The platform's list of hosts, on platforms that have one.
class host_list_source {
public:
    host_list_source() = default;
    host_list_source(const host_list_source&) = delete;
    host_list_source& operator=(const host_list_source&) = delete;
    host_list_source(host_list_source&&) = delete;
    host_list_source& operator=(host_list_source&&) = delete;
    virtual ~host_list_source() = default;

    using hosts_callback = std::function<void(const result<std::vector<listed_host>>&)>;

    // Returns the list, which may be out of date.
    virtual void list_hosts(hosts_callback callback) = 0;
};

} // namespace tanager
