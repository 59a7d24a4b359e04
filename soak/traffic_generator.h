// Callers that send requests of all kinds and keep using their connections.
#pragma once

#include "soak/soak_record.h"

#include <functional>
#include <random>

namespace tanager::soak {

// A running gateway as callers reach it.
struct reached_gateway {
    std::string name; // its host and the number of its start
    std::string address;
};

class callers {
public:
    using gateways_source = std::function<std::vector<reached_gateway>()>;

    callers(testing::site_caller& caller, unsigned seed, soak_record& record, gateways_source gateways);

    // Sends requests at this rate until `stop`.
    void start(unsigned requests_per_second);
    void stop();

    // Tells of a route that the configuration has added; its callers come from then on.
    void use_extra_route(unsigned number);

    // Returns the requests that have no answer yet.
    std::size_t open() const;

private:
    void send_one();
    http_request make_request(const sent_request& request);

    testing::site_caller& caller;
    std::mt19937 random;
    soak_record& record;
    gateways_source gateways;
    std::unique_ptr<loop_timer> ticks;
    std::uint64_t last_id = 0;
    unsigned newest_extra = 0;
};

} // namespace tanager::soak
