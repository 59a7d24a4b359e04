// Callers that send requests of all kinds and keep using their connections.
#pragma once

#include "soak/soak_record.h"

#include <functional>
#include <random>

namespace tanager::soak {

// A running gateway as callers reach it.
struct gateway_endpoint {
    std::string instance_name; // its host and the number of its start
    std::string address;
};

class traffic_generator {
public:
    using list_gateways_function = std::function<std::vector<gateway_endpoint>()>;

    traffic_generator(testing::test_client& client,
                      unsigned seed,
                      soak_record& record,
                      list_gateways_function list_gateways);

    // Sends requests at this rate until `stop`.
    void start(unsigned requests_per_second);
    void stop();

    // Tells of a route that the configuration has added; its callers come from then on.
    void add_route(unsigned number);

    // Returns the requests that have no answer yet.
    std::size_t pending_count() const;

private:
    void send_one();
    http_request make_request(const sent_request& request);

    testing::test_client& client;
    std::mt19937 random;
    soak_record& record;
    list_gateways_function list_gateways;
    std::unique_ptr<loop_timer> send_timer;
    std::uint64_t last_id = 0;
    unsigned last_added_route_number = 0;
};

} // namespace tanager::soak
