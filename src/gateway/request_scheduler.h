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

struct place_request {
    std::string service;
    bool is_model = false;
    prompt_shape prompt;
    std::uint32_t priority = 0;
    time_point latest_start; // a later start misses the objective
    time_point due;          // when the first event, or the answer, is to be there
    std::size_t bytes = 0;   // of the request as it is sent
    bool has_begun = false;  // may have run already, so that another place is its only chance
    bool is_late = false;    // its objective is lost, so it is served from idle room only
    bool is_read = false;    // the prompt lies in a KV cache that the server will take
    bool may_be_read_apart = true;
    std::vector<std::string> tried;
};

// What a request was given.
struct granted_place {
    std::shared_ptr<const backend_server> server;
    std::shared_ptr<const backend_server> reader; // null when the server reads the prompt itself
    std::uint32_t unread_tokens = 0;              // counted on the reader, or else on the server
    std::uint64_t tokens_before = 0;              // to be read there by all gateways, these included
};

// Hears once what became of a place request.
class place_listener {
public:
    place_listener() = default;
    place_listener(const place_listener&) = delete;
    place_listener& operator=(const place_listener&) = delete;
    place_listener(place_listener&&) = delete;
    place_listener& operator=(place_listener&&) = delete;
    virtual ~place_listener() = default;

    // The request is counted on the server from here until `place_desk::release`, and its prompt until
    // `place_desk::release_reading`.
    virtual void on_place(const granted_place& place) = 0;
    virtual void on_no_place(placement_error miss) = 0;
};

class place_desk {
public:
    place_desk(const clock& time,
               random_source& random,
               server_pool& pool,
               const uplink& link,
               const demand_meter& demand);

    // Answers the listener at once, or keeps it until a place comes free or the latest start has passed.
    // Returns a ticket for `withdraw`.
    std::uint64_t ask(const place_request& wanted, const std::shared_ptr<place_listener>& listener);

    void withdraw(std::uint64_t ticket);

    // Returns whether a request would get a place at this moment.
    bool has_place(const place_request& wanted);

    // Gives a place, or the room for reading a prompt, back and hands it on.
    void release(const place_request& wanted, const std::string& server_id);
    void release_reading(const std::string& service, const std::string& server_id, std::uint32_t tokens);

    // Hands out places that came free elsewhere, and rejects what has waited too long.
    void review();

    std::size_t waiting() const;

    // Returns what is known of the places of a service at this moment, for the log.
    slot_usage use_of(const std::string& service);

    // Returns when a caller whose request is rejected now should come back.
    std::chrono::milliseconds advise_return(const std::string& service);

private:
    struct kept_request {
        place_request wanted;
        std::shared_ptr<place_listener> listener;
    };

    bool has_share(const place_request& wanted, const std::vector<placement_candidate>& candidates);
    slot_usage count_places(const std::string& service, const std::vector<placement_candidate>& candidates);
    placement_result choose(const place_request& wanted, std::vector<placement_candidate>& candidates);
    void grant(const place_request& wanted,
               const placement& chosen,
               const std::vector<placement_candidate>& candidates,
               place_listener& listener);
    // What is kept for each service.
    struct service_desk {
        explicit service_desk(const clock& time) : line(time), long_outputs(time), advice(time) {}

        slot_wait_queue line;
        slot_wait_queue long_outputs; // few, and each worth many others: a burst of those is not before them
        retry_after_estimator advice;
    };

    void serve(service_desk& desk);
    void serve_line(slot_wait_queue& line);
    service_desk& desk_of(const std::string& service);
    slot_wait_queue& line_of(const place_request& wanted);

    const clock& time;
    random_source& random;
    server_pool& pool;
    const uplink& link;
    const demand_meter& demand;
    std::uint64_t last_ticket = 0;
    std::map<std::string, service_desk> desks;
    std::map<std::uint64_t, kept_request> kept;
};

} // namespace tanager
