// Polls the platform's list of live and leaving hosts at a fixed interval.
#pragma once

#include "net/event_loop.h"
#include "store/object_store.h"

#include <memory>

namespace tanager {

class host_list_poller {
public:
    using change_callback = std::function<void(const std::vector<listed_host>&)>;

    // `on_change` is called with each list that differs from the previous one; failed calls are ignored.
    // `loop` and `store` must outlive the poller.
    static std::shared_ptr<host_list_poller>
    create(event_loop& loop, host_list_source& store, duration interval, change_callback on_change);

    host_list_poller() = default;
    host_list_poller(const host_list_poller&) = delete;
    host_list_poller& operator=(const host_list_poller&) = delete;
    host_list_poller(host_list_poller&&) = delete;
    host_list_poller& operator=(host_list_poller&&) = delete;
    virtual ~host_list_poller() = default;

    // Polls at once, then at the interval.
    virtual void start() = 0;

    // Changes the polling interval; the next poll is one new interval from now.
    virtual void set_interval(duration interval) = 0;
};

} // namespace tanager
