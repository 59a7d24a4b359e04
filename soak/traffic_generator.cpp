#include "soak/traffic_generator.h"

#include <algorithm>

namespace tanager::soak {

namespace {

// A caller waits longer than the deadline of its request before it counts the request as unanswered.
constexpr std::chrono::milliseconds request_deadline{2'000};
constexpr std::chrono::milliseconds call_timeout{25'000};
constexpr unsigned max_work_ms = 150;
constexpr unsigned max_events = 40;
constexpr unsigned max_event_interval_ms = 25;
constexpr unsigned request_kind_weights_sum = 20;

request_kind draw_kind(unsigned draw, bool has_added_route)
{
    if (draw < 8) { // NOLINT(*-magic-numbers)
        return request_kind::non_idempotent;
    }
    if (draw < 13) { // NOLINT(*-magic-numbers)
        return request_kind::idempotent;
    }
    return draw < 17 || !has_added_route ? request_kind::stream
                                         : request_kind::added_route; // NOLINT(*-magic-numbers)
}

} // namespace

traffic_generator::traffic_generator(testing::test_client& client,
                                     unsigned seed,
                                     soak_record& record,
                                     list_gateways_function list_gateways)
    : client(client), random(seed), record(record), list_gateways(std::move(list_gateways))
{
}

void traffic_generator::start(unsigned requests_per_second)
{
    const std::chrono::microseconds interval{std::chrono::microseconds{std::chrono::seconds{1}} /
                                             requests_per_second};
    this->send_timer = this->client.loop().run_every(interval, [this] { this->send_one(); });
}

void traffic_generator::stop()
{
    this->send_timer.reset();
}

void traffic_generator::add_route(unsigned number)
{
    this->last_added_route_number = number;
}

std::size_t traffic_generator::pending_count() const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        this->record.requests, [](const auto& request) { return !request->is_finished(); }));
}

http_request traffic_generator::make_request(const sent_request& request)
{
    std::string path;
    const auto work_query = "?work_ms=" + std::to_string(this->random() % max_work_ms);
    switch (request.kind) {
    case request_kind::non_idempotent:
        path = "/order/1" + work_query;
        break;
    case request_kind::idempotent:
        path = "/read/1" + work_query;
        break;
    case request_kind::stream:
        path = "/stream/1?events=" + std::to_string(request.event_count) +
               "&event_ms=" + std::to_string(this->random() % max_event_interval_ms);
        break;
    case request_kind::added_route:
        path = "/extra-" + std::to_string(request.added_route_number) + "/1" + work_query;
        break;
    }
    return {"POST",
            path,
            {{"Host", "shop.example"},
             {"Attempt-Id", request.id},
             {"Deadline-Ms", std::to_string(request_deadline.count())}},
            request.body};
}

void traffic_generator::send_one()
{
    const auto endpoints = this->list_gateways();
    if (endpoints.empty()) {
        return;
    }
    const auto& gateway = endpoints[this->random() % endpoints.size()];
    const auto request = std::make_shared<sent_request>();
    request->id = "r" + std::to_string(++this->last_id);
    request->body = "body of " + request->id;
    request->kind = draw_kind(this->random() % request_kind_weights_sum, this->last_added_route_number > 0);
    request->event_count = 1 + this->random() % max_events;
    // Older routes are requested as well: a route that was served must stay known.
    const bool uses_newest_route = this->last_added_route_number == 0 || this->random() % 2 == 0;
    request->added_route_number = uses_newest_route ? this->last_added_route_number
                                                    : 1 + this->random() % this->last_added_route_number;
    request->gateway_instance = gateway.instance_name;
    request->sent_at = std::chrono::steady_clock::now();
    this->record.requests.push_back(request);
    this->client.start_with(request, gateway.address, this->make_request(*request), {call_timeout, true});
}

} // namespace tanager::soak
