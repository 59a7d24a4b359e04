// Sends role orders to engines, from the one process that holds the lease.
#pragma once

#include "base/clock.h"
#include "net/http_client.h"
#include "roles/engine_codec.h"
#include "store/object_store.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace tanager {

struct role_order_settings {
    std::string holder;                     // host of this process
    std::chrono::milliseconds lease{3'000}; // after taking over, no order is sent for this time

    friend bool operator==(const role_order_settings&, const role_order_settings&) = default;
};

// Which engines may get orders.
class engine_availability {
public:
    engine_availability() = default;
    engine_availability(const engine_availability&) = delete;
    engine_availability& operator=(const engine_availability&) = delete;
    engine_availability(engine_availability&&) = delete;
    engine_availability& operator=(engine_availability&&) = delete;
    virtual ~engine_availability() = default;

    virtual bool takes_work(const std::string& engine_id) const = 0;

    virtual void record_leaving(const backend_server& asked,
                                leaving_statement statement,
                                answer_kind answer,
                                int status) = 0;
};

// A process holds the lease after a successful conditional update of the one object in the store that names
// the holder; the object's revision is the fencing token. Each order is preceded by such an update, so that a
// process that was replaced detects this before it sends. A new holder first waits until the lease of its
// predecessor has expired. The outcome of an order without a response is determined by the engine's report,
// never by sending another order; until then that engine gets no other order. Orders to other engines go on:
// an engine that leaves its order unanswered would otherwise keep the split of all as it is for many seconds.
class role_order_sender {
public:
    static std::shared_ptr<role_order_sender> create(const clock& time,
                                                     object_store& store,
                                                     http_client& client,
                                                     const engine_codec& codec,
                                                     engine_availability& engines,
                                                     const role_order_settings& settings);

    role_order_sender() = default;
    role_order_sender(const role_order_sender&) = delete;
    role_order_sender& operator=(const role_order_sender&) = delete;
    role_order_sender(role_order_sender&&) = delete;
    role_order_sender& operator=(role_order_sender&&) = delete;
    virtual ~role_order_sender() = default;

    // Returns whether an order can be sent now: none is in flight, and the lease of the previous holder has
    // expired. To be called periodically by the process that should be the holder; starts to
    // acquire the lease if this process does not hold it.
    virtual bool prepare_to_send() = 0;

    // Gives up the lease, for instance after the process was suspended.
    virtual void step_down() = 0;

    // `ended` is called with true if the engine has accepted the order or may still execute it. Nothing is
    // sent to an engine that is not settled, and no order to one that has begun to leave meanwhile.
    virtual void send(const backend_server& engine,
                      const role_change& change,
                      std::function<void(bool may_be_executed)> ended) = 0;

    // Returns whether the outcome of every order to an engine is known.
    virtual bool is_settled(const std::string& engine_id) const = 0;
};

} // namespace tanager
