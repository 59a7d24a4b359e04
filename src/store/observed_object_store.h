// Counts and logs the calls that a process makes to the store.
#pragma once

#include "base/clock.h"
#include "metrics/metrics_registry.h"
#include "store/object_store.h"

#include <string>
#include <string_view>

namespace tanager {

// Passes all calls on. Shows the era of the last listing in `tanager_store_era`, and in
// `tanager_store_list_incomplete` by prefix whether the last list was incomplete. Counts calls in
// `tanager_store_calls_total` by call, prefix and outcome, and writes one log line for each when it has a
// result, with the reason if it failed.
class observed_object_store final : public object_store {
public:
    // The references must outlive the store and its pending calls.
    observed_object_store(const clock& time, metrics_registry& metrics, object_store& store);

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

private:
    template <typename value>
    std::function<void(const result<value>&)> observe(std::string_view call,
                                                      const std::string& name,
                                                      std::function<void(const result<value>&)> callback);
    void record(std::string_view call, const std::string& prefix, const error* cause, duration elapsed);

    const clock& time;
    metrics_registry& metrics;
    object_store& store;
};

} // namespace tanager
