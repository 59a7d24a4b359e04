// Gives requests their places on backend servers, now or when one comes free.
#pragma once

#include "admission/retry_after_estimator.h"
#include "admission/slot_share.h"
#include "admission/slot_wait_queue.h"
#include "base/random_source.h"
#include "gateway/server_pool.h"
#include "gateway/types/caller_request.h"
#include "placement/server_selection.h"
#include "roles/demand_meter.h"
#include "uplink/uplink.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace tanager {

struct slot_request {
    std::string service;
    bool is_model = false;
    prompt_shape prompt;
    std::uint32_t priority = 0;
    time_point latest_start;           // a later start misses the objective
    time_point first_event_deadline;   // when the first event, or the answer, is to be there
    std::size_t request_bytes = 0;     // of the request as it is sent
    bool may_have_executed = false;    // may have run already, so that another place is its only chance
    bool has_missed_objective = false; // its objective is lost, so it is served from idle room only
    bool is_prefilled = false;         // the prompt lies in a KV cache that the server will take
    bool allows_separate_prefill = true;
    std::vector<std::string> tried_server_ids;
};

// What a request was given.
struct slot_grant {
    std::shared_ptr<const backend_server> server;
    std::shared_ptr<const backend_server> prefill_engine; // null when the server reads the prompt itself
    std::uint32_t prefill_tokens = 0;                     // counted on the reader, or else on the server
    std::uint64_t pending_prefill_tokens = 0;             // to be read there by all gateways, these included
};

// Hears once what became of a place request.
class slot_listener {
public:
    slot_listener() = default;
    slot_listener(const slot_listener&) = delete;
    slot_listener& operator=(const slot_listener&) = delete;
    slot_listener(slot_listener&&) = delete;
    slot_listener& operator=(slot_listener&&) = delete;
    virtual ~slot_listener() = default;

    // The request is counted on the server from here until `request_scheduler::release`, and its prompt until
    // `request_scheduler::release_prefill`.
    virtual void on_slot_granted(const slot_grant& grant) = 0;
    virtual void on_slot_denied(placement_error reason) = 0;
};

class request_scheduler {
public:
    request_scheduler(const clock& time,
                      random_source& random,
                      server_pool& pool,
                      const uplink_queue_model& link,
                      const demand_meter& demand);

    // Answers the listener at once, or keeps it until a place comes free or the latest start has passed.
    // Returns a ticket for `withdraw`.
    std::uint64_t request_slot(const slot_request& request, const std::shared_ptr<slot_listener>& listener);

    void cancel(std::uint64_t ticket);

    // Returns whether a request would get a place at this moment.
    bool has_free_slot(const slot_request& request);

    // Gives a place, or the room for reading a prompt, back and hands it on.
    void release_slot(const slot_request& request, const std::string& server_id);
    void release_prefill(const std::string& service, const std::string& server_id, std::uint32_t tokens);

    // Hands out places that came free elsewhere, and rejects what has waited too long.
    void process_queues();

    std::size_t queued_count() const;

    // Returns what is known of the places of a service at this moment, for the log.
    slot_usage slot_usage_of(const std::string& service);

    // Returns when a caller whose request is rejected now should come back.
    std::chrono::milliseconds suggest_retry_after(const std::string& service);

private:
    struct queued_request {
        slot_request request;
        std::shared_ptr<slot_listener> listener;
    };

    bool is_within_share(const slot_request& request, const std::vector<placement_candidate>& candidates);
    slot_usage count_slots(const std::string& service, const std::vector<placement_candidate>& candidates);
    placement_result choose(const slot_request& request, std::vector<placement_candidate>& candidates);
    void grant(const slot_request& request,
               const placement& chosen,
               const std::vector<placement_candidate>& candidates,
               slot_listener& listener);
    // What is kept for each service.
    struct service_queues {
        explicit service_queues(const clock& time) : queue(time), long_output_queue(time), retry_advice(time)
        {
        }

        slot_wait_queue queue;
        slot_wait_queue
            long_output_queue; // few, and each worth many others: a burst of those is not before them
        retry_after_estimator retry_advice;
    };

    void process_queues_of(service_queues& queues);
    void process_queue(slot_wait_queue& queue);
    service_queues& queues_of(const std::string& service);
    slot_wait_queue& queue_of(const slot_request& request);

    const clock& time;
    random_source& random;
    server_pool& pool;
    const uplink_queue_model& link;
    const demand_meter& demand;
    std::uint64_t last_ticket = 0;
    std::map<std::string, service_queues> queues_by_service;
    std::map<std::uint64_t, queued_request> queued_requests;
};

} // namespace tanager
