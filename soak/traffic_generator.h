// Sends requests of all kinds over connections that are kept open.
#pragma once

#include "soak/soak_record.h"

#include <functional>
#include <random>

namespace tanager::soak {

// Name and address of a running gateway.
struct gateway_endpoint {
    std::string instance_name; // host and start number
    std::string address;
};

class traffic_generator {
public:
    using list_gateways_function = std::function<std::vector<gateway_endpoint>()>;

    traffic_generator(testing::test_client& client,
                      unsigned seed,
                      soak_record& record,
                      list_gateways_function list_gateways);

    // Sends requests at this rate until `stop` is called.
    void start(unsigned requests_per_second);
    void stop();

    // Announces a route that was added to the configuration; requests to it are sent from now on.
    void add_route(unsigned number);

    // Returns the number of requests that have neither a response nor a failure yet.
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
