// Claims keys in the platform's store before their requests are dispatched.
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

// Everything the claims need of the outside.
struct claim_context {
    object_store& store;
    const clock& time;
    // Runs a task after a delay.
    std::function<void(duration, std::function<void()>)> run_after;
    // Hears of each shard's window, so that agents can refuse what was claimed in a closed one.
    std::function<void(const std::string& shard, std::uint64_t window)> on_window;
    std::chrono::hours window_length{24};
    std::chrono::milliseconds store_timeout{2'000}; // how long a claim may wait for the store
};

class claim_shard;

// Keys are spread over a fixed number of shards, one object each. All that waits for a shard is written in
// one conditional update.
class claim_registry {
public:
    explicit claim_registry(const claim_context& context);
    ~claim_registry();
    claim_registry(const claim_registry&) = delete;
    claim_registry& operator=(const claim_registry&) = delete;
    claim_registry(claim_registry&&) = delete;
    claim_registry& operator=(claim_registry&&) = delete;

    using claim_callback = std::function<void(const claim_result&)>;

    // Answers once the claim is certain. After any verdict but `granted`, nothing may be dispatched.
    void claim(const claim_request& request, claim_callback callback);

    // Records how a granted request ended; repeated until the store has it.
    void record_outcome(const claim_request& request,
                        claim_state state,
                        const std::optional<claim_answer>& answer);

    // Gives a granted claim back, because the request was not run.
    void release(const claim_request& request);

    // Returns the changes that have not been written yet.
    std::size_t pending_writes() const;

private:
    claim_shard& shard_of(const std::string& key_digest);

    claim_context context;
    std::map<std::string, std::shared_ptr<claim_shard>> shards;
};

} // namespace tanager
