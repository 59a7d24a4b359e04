// Reads the platform's list of live and leaving hosts at an interval.
#pragma once

#include "net/event_loop.h"
#include "store/object_store.h"

#include <memory>

namespace tanager {

class host_list_follower {
public:
    using change_callback = std::function<void(const std::vector<listed_host>&)>;

    // `changed` is called with each list that differs from the last one read.
    static std::shared_ptr<host_list_follower>
    create(event_loop& loop, host_list_source& store, duration interval, change_callback changed);

    host_list_follower() = default;
    host_list_follower(const host_list_follower&) = delete;
    host_list_follower& operator=(const host_list_follower&) = delete;
    host_list_follower(host_list_follower&&) = delete;
    host_list_follower& operator=(host_list_follower&&) = delete;
    virtual ~host_list_follower() = default;

    virtual void start() = 0;

    // Changes how often the list is read from now on.
    virtual void set_interval(duration interval) = 0;
};

} // namespace tanager
