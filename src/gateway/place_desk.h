// Gives requests their places on backend servers, now or when one comes free.
#pragma once

#include "admission/waiting_line.h"
#include "base/random_source.h"
#include "gateway/server_pool.h"
#include "gateway/types/caller_request.h"
#include "placement/server_choice.h"

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
    std::vector<std::string> tried;
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

    // The request is counted on the server from here until `place_desk::release`.
    virtual void on_place(const std::shared_ptr<const backend_server>& server) = 0;
    virtual void on_no_place(placement_miss miss) = 0;
};

class place_desk {
public:
    place_desk(const clock& time, random_source& random, server_pool& pool);

    // Answers the listener at once, or keeps it until a place comes free or the latest start has passed.
    // Returns a ticket for `withdraw`.
    std::uint64_t ask(const place_request& wanted, const std::shared_ptr<place_listener>& listener);

    void withdraw(std::uint64_t ticket);

    // Gives a place back and hands it on.
    void release(const std::string& service, const std::string& server_id);

    // Hands out places that came free elsewhere, and rejects what has waited too long.
    void review();

    std::size_t waiting() const;

    // Returns when a request that is rejected now may expect a place.
    std::chrono::milliseconds suggest_return(const std::string& service) const;

private:
    struct kept_request {
        place_request wanted;
        std::shared_ptr<place_listener> listener;
    };

    placement_result choose(const place_request& wanted, std::vector<placement_candidate>& candidates);
    void grant(const std::shared_ptr<const backend_server>& server, place_listener& listener);
    void serve_line(waiting_line& line);
    waiting_line& line_of(const std::string& service);

    const clock& time;
    random_source& random;
    server_pool& pool;
    std::uint64_t last_ticket = 0;
    std::map<std::string, waiting_line> lines;
    std::map<std::uint64_t, kept_request> kept;
};

} // namespace tanager
