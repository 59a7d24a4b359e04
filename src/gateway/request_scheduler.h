// Grants requests slots on backend servers, at once or when a slot becomes free.
#pragma once

#include "admission/retry_after_estimator.h"
#include "admission/slot_share.h"
#include "admission/slot_wait_queue.h"
#include "base/random_source.h"
#include "gateway/server_pool.h"
#include "gateway/types/caller_request.h"
#include "placement/server_selection.h"
#include "roles/demand_meter.h"
#include "uplink/sending_plan.h"
#include "uplink/uplink.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace tanager {

struct slot_request {
    std::string service;
    std::string organisation; // empty if the request needs none
    bool is_model = false;
    prompt_shape prompt;
    std::uint32_t priority = 0;
    time_point start_deadline;       // a later start misses the latency objective
    time_point first_event_deadline; // deadline for the first event or, without events, the response
    std::chrono::milliseconds gap_objective{0}; // between two events; 0 if the route has none
    std::size_t request_bytes = 0;              // size of the request as sent to the server
    bool may_have_executed = false;             // a server may have run it: without another slot it fails
    bool has_missed_objective = false;          // it gets a slot only while servers are lightly used
    bool is_prefilled = false;                  // the server will fetch the KV cache of the prompt
    bool allows_separate_prefill = true;
    std::vector<std::string> tried_server_ids;
    std::chrono::milliseconds latency_objective{0}; // of the route
};

// The slot that a request was granted.
struct slot_grant {
    std::shared_ptr<const backend_server> server;
    std::shared_ptr<const backend_server> prefill_engine; // null if `server` prefills the prompt itself
    std::shared_ptr<const backend_server> prefix_source;  // null unless the prefix is fetched from an engine
    std::uint32_t prefill_tokens = 0;         // counted on `prefill_engine`, or on `server` if that is null
    std::uint64_t pending_prefill_tokens = 0; // there, from all gateways and including this prompt
};

// Receives the outcome of a slot request, exactly once unless the request is cancelled.
class slot_listener {
public:
    slot_listener() = default;
    slot_listener(const slot_listener&) = delete;
    slot_listener& operator=(const slot_listener&) = delete;
    slot_listener(slot_listener&&) = delete;
    slot_listener& operator=(slot_listener&&) = delete;
    virtual ~slot_listener() = default;

    // The request counts on the server until `request_scheduler::release_slot`, and its prompt until
    // `request_scheduler::release_prefill`.
    virtual void on_slot_granted(const slot_grant& grant) = 0;
    virtual void on_slot_denied(placement_error reason) = 0;
};

// Requests of organisations wait for a slow link of this host, and share it. Deployments without
// organisations pass their requests to the link at once.
class request_scheduler {
public:
    request_scheduler(const clock& time,
                      random_source& random,
                      server_pool& pool,
                      const uplink_queue_model& link,
                      const demand_meter& demand);

    // Notifies the listener before it returns, or queues the request until a slot becomes free or its latest
    // start has passed. Returns a ticket for `cancel`.
    std::uint64_t request_slot(const slot_request& request, const std::shared_ptr<slot_listener>& listener);

    // Takes a slot for a request that is not worth waiting for, if a spare one is there and nothing waits for
    // it. It counts like a granted one.
    std::optional<slot_grant> try_take_slot(const slot_request& request);

    // Returns whether a request of the service waits for a slot.
    bool is_work_waiting(const std::string& service);

    // Removes a queued request without notifying its listener. Unknown tickets are ignored.
    void cancel(std::uint64_t ticket);

    // Returns whether a request would be granted a slot now, regardless of the queues.
    bool has_free_slot(const slot_request& request);

    // Returns whether a server that was not tried and is not suspected to be down has a slot that nobody
    // uses. Unlike a free slot, it is neither a place in the queue of a plain server nor on a server of last
    // resort.
    bool has_spare_slot(const slot_request& request) const;

    // Release a slot, or the pending prefill tokens of a prompt, and grant slots to queued requests.
    void release_slot(const slot_request& request, const std::string& server_id);
    void release_prefill(const std::string& service, const std::string& server_id, std::uint32_t tokens);

    // Grants slots that requests of other gateways have released, and denies queued requests whose latest
    // start has passed.
    void process_queues();

    std::size_t queued_count() const;

    // Returns the current slot usage of a service, for the log.
    slot_usage slot_usage_of(const std::string& service);

    // Returns how many requests this host's link could not carry in time.
    std::uint64_t link_refusal_count() const;

    // Returns the number of organisations whose use is counted for one service.
    std::size_t counted_organisations() const;

    // Returns how long a prompt that arrives now would wait for this host's link.
    duration link_wait() const;

    // Returns after which time the caller of a request that this host's link cannot carry should retry.
    std::chrono::milliseconds suggest_retry_elsewhere(const slot_request& request);

    // Records a rejection and returns after which time the caller should retry.
    std::chrono::milliseconds suggest_retry_after(const std::string& service);

private:
    struct queued_request {
        slot_request request;
        std::shared_ptr<slot_listener> listener;
        placement_error last_error; // why it was not placed when that was last tried
    };

    void deny(slot_listener& listener, placement_error reason);
    link_demand make_link_demand(const slot_request& request) const;
    std::size_t queued_bytes() const;
    bool can_carry_in_time(const slot_request& request);
    placement_error why_is_waiting(const waiting_request& waiting) const;
    bool try_queue(std::uint64_t ticket, const slot_request& request, placement_error reason);
    bool is_within_share(const slot_request& request, const std::vector<placement_candidate>& candidates);
    slot_usage count_slots(const std::string& service, const std::vector<placement_candidate>& candidates);
    placement_result choose(const slot_request& request, std::vector<placement_candidate>& candidates);
    slot_grant take_slot(const slot_request& request,
                         const placement& chosen,
                         const std::vector<placement_candidate>& candidates);
    void grant(const slot_request& request,
               const placement& chosen,
               const std::vector<placement_candidate>& candidates,
               slot_listener& listener);
    // The queues of one service.
    struct service_queues {
        explicit service_queues(const clock& time)
            : shares(time),
              queue(time, &this->shares),
              long_output_queue(time, &this->shares),
              retry_after(time)
        {
        }
        service_queues(const service_queues&) = delete;
        service_queues& operator=(const service_queues&) = delete;
        service_queues(service_queues&&) = delete;
        service_queues& operator=(service_queues&&) = delete;
        ~service_queues() = default;

        organisation_shares shares;
        slot_wait_queue queue;
        slot_wait_queue
            long_output_queue; // served first: long outputs are few, and each is worth many short ones
        retry_after_estimator retry_after;
    };

    void process_queues_of(service_queues& queues);
    void process_queue(slot_wait_queue& queue);
    void deny_displaced(slot_wait_queue& queue);
    service_queues& queues_of(const std::string& service);
    slot_wait_queue& queue_of(const slot_request& request);

    const clock& time;
    random_source& random;
    server_pool& pool;
    const uplink_queue_model& link;
    sending_plan sending;
    const demand_meter& demand;
    std::uint64_t last_ticket = 0;
    std::uint64_t link_refusals = 0;
    std::map<std::string, service_queues> queues_by_service;
    std::map<std::uint64_t, queued_request> queued_requests;
};

} // namespace tanager
