// Sends orders to engines, as the one process that may.
#pragma once

#include "base/clock.h"
#include "net/http_client.h"
#include "roles/engine_codec.h"
#include "store/object_store.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace tanager {

struct role_order_settings {
    std::string holder;                     // this process's host
    std::chrono::milliseconds lease{3'000}; // no order follows one of another holder within this time

    friend bool operator==(const role_order_settings&, const role_order_settings&) = default;
};

// Authority is a successful conditional update of the one object that names the holder; its revision is the
// fencing token. Each order is preceded by such an update, so that a process that was replaced finds out
// before it sends. A holder that takes over waits for the lease first. An order without an answer is settled
// by the engine's report, never by another order; until then `is_settled` is false.
class role_order_sender {
public:
    static std::shared_ptr<role_order_sender> create(const clock& time,
                                                     object_store& store,
                                                     http_client& client,
                                                     const engine_codec& codec,
                                                     const role_order_settings& settings);

    role_order_sender() = default;
    role_order_sender(const role_order_sender&) = delete;
    role_order_sender& operator=(const role_order_sender&) = delete;
    role_order_sender(role_order_sender&&) = delete;
    role_order_sender& operator=(role_order_sender&&) = delete;
    virtual ~role_order_sender() = default;

    // Returns whether an order could be sent now: nothing is under way, and the lease of the one before is
    // over. Called again and again by a process that is to be the holder; it takes over where it is not.
    virtual bool prepare_to_send() = 0;

    // Gives up the claim to be the holder, for instance after the process stood still.
    virtual void step_down() = 0;

    // `ended` hears whether the order may be carried out.
    virtual void send(const backend_server& engine,
                      const role_change& change,
                      std::function<void(bool may_be_executed)> ended) = 0;

    // Returns the engine whose order is under way or not settled, if there is one.
    virtual std::optional<std::string> engine_with_pending_order() const = 0;
};

} // namespace tanager
