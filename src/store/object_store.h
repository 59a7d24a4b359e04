// The platform's object API as the system uses it.
#pragma once

#include "base/types/result.h"
#include "store/types/stored_object.h"

#include <functional>

namespace tanager {

// All calls answer later, on the loop. Failures are store_unavailable, version_conflict, object_unknown or,
// from `watch`, history_lost: the changes since then are gone, or cannot be read.
// After store_unavailable a write may nevertheless have taken effect.
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

    // Lists the objects under a prefix.
    virtual void list(const std::string& prefix, listing_callback callback) = 0;

    // Answers with the changes under a prefix after `since`, or with none after the store's waiting time.
    virtual void watch(const std::string& prefix, std::uint64_t since, listing_callback callback) = 0;

    virtual void get(const std::string& name, object_callback callback) = 0;

    // Writes an object if its version still is `expected`; 0 expects no object. Answers the new version.
    virtual void put(const std::string& name,
                     const std::string& value,
                     std::uint64_t expected,
                     version_callback callback) = 0;

    // Removes an object if its version still is `expected`.
    virtual void remove(const std::string& name, std::uint64_t expected, version_callback callback) = 0;
};

// The platform's list of hosts, where there is one.
class host_list_source {
public:
    host_list_source() = default;
    host_list_source(const host_list_source&) = delete;
    host_list_source& operator=(const host_list_source&) = delete;
    host_list_source(host_list_source&&) = delete;
    host_list_source& operator=(host_list_source&&) = delete;
    virtual ~host_list_source() = default;

    using hosts_callback = std::function<void(const result<std::vector<listed_host>>&)>;

    // Answers the list, which lags.
    virtual void list_hosts(hosts_callback callback) = 0;
};

} // namespace tanager
