#pragma once

#include "net/http_client.h"
#include "store/object_store.h"

#include <memory>

namespace tanager {

// Timeouts of calls to the store; `watch_wait` is the longest time for which the store holds a watch without
// changes.
struct object_store_limits {
    std::chrono::milliseconds call_timeout{3'000};
    std::chrono::milliseconds watch_wait{20'000};

    friend bool operator==(const object_store_limits&, const object_store_limits&) = default;
};

// Client of the platform's object store and host list over HTTP.
class http_object_store final : public object_store, public host_list_source {
public:
    static std::unique_ptr<http_object_store>
    create(http_client& client, const socket_address& platform, const object_store_limits& limits);

    void list(const std::string& prefix, listing_callback callback) override;
    void watch(const std::string& prefix,
               std::uint64_t since,
               std::chrono::milliseconds max_wait,
               listing_callback callback) override;
    void get(const std::string& name, object_callback callback) override;
    void put(const std::string& name,
             const std::string& value,
             std::uint64_t expected,
             version_callback callback) override;
    void remove(const std::string& name, std::uint64_t expected, version_callback callback) override;
    std::uint64_t known_era() const override;
    void list_hosts(hosts_callback callback) override;

    // Returns the number of calls made so far, watches included.
    std::uint64_t calls() const;

private:
    using response_callback = std::function<void(const result<std::string>&)>;

    http_object_store(http_client& client, socket_address platform, const object_store_limits& limits);

    void call(const http_request& request, std::chrono::milliseconds timeout, response_callback callback);

    http_client& client;
    socket_address platform;
    object_store_limits limits;
    std::uint64_t call_count = 0;
};

} // namespace tanager
