// Claims idempotency keys in the platform's store before their requests are dispatched.
#pragma once

#include "base/clock.h"
#include "claims/types/claim.h"
#include "store/object_store.h"

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace tanager {

// The dependencies and settings of a claim registry.
struct claim_context {
    object_store& store;
    const clock& time;
    // Runs a task once after a delay.
    std::function<void(duration, std::function<void()>)> run_after;
    // Called with a shard's window after each batch of changes, so that agents can refuse requests that were
    // claimed in a closed window.
    std::function<void(const std::string& shard, std::uint64_t window)> on_window;
    std::chrono::hours window_length{24};
    std::chrono::milliseconds store_timeout{2'000}; // how long a claim waits for the store
};

class claim_shard;

// Keys are distributed over a fixed number of shards, with one object per shard. All changes that wait for a
// shard are written in one conditional update.
class claim_registry {
public:
    explicit claim_registry(const claim_context& context);
    ~claim_registry();
    claim_registry(const claim_registry&) = delete;
    claim_registry& operator=(const claim_registry&) = delete;
    claim_registry(claim_registry&&) = delete;
    claim_registry& operator=(claim_registry&&) = delete;

    using claim_callback = std::function<void(const claim_result&)>;

    // Calls `callback` once the outcome is final. The request may be dispatched only after `granted`. A
    // claim that is still being retried after `store_timeout` ends with `store_unavailable`.
    void claim(const claim_request& request, claim_callback callback);

    // Records how a granted request ended. The write is retried until it succeeds.
    void record_outcome(const claim_request& request,
                        claim_state state,
                        const std::optional<claim_answer>& answer);

    // Removes a granted claim, because the request was not run. The write is retried until it succeeds.
    void release(const claim_request& request);

    // Returns the number of changes that are not yet written to the store.
    std::size_t pending_writes() const;

private:
    claim_shard& shard_of(const std::string& key_digest);

    claim_context context;
    std::map<std::string, std::shared_ptr<claim_shard>> shards;
};

} // namespace tanager
