#include "soak/traffic_generator.h"

#include <algorithm>

namespace tanager::soak {

namespace {

// Callers wait a little longer than their own deadline before they call a request unanswered.
constexpr std::chrono::milliseconds deadline{2'000};
constexpr std::chrono::milliseconds patience{25'000};
constexpr unsigned longest_work_ms = 150;
constexpr unsigned most_events = 40;
constexpr unsigned longest_event_ms = 25;
constexpr unsigned of_each_twenty = 20;

request_kind draw_kind(unsigned draw, bool has_extra)
{
    if (draw < 8) { // NOLINT(*-magic-numbers)
        return request_kind::order;
    }
    if (draw < 13) { // NOLINT(*-magic-numbers)
        return request_kind::read;
    }
    return draw < 17 || !has_extra ? request_kind::stream : request_kind::extra; // NOLINT(*-magic-numbers)
}

} // namespace

callers::callers(testing::site_caller& caller, unsigned seed, soak_record& record, gateways_source gateways)
    : caller(caller), random(seed), record(record), gateways(std::move(gateways))
{
}

void callers::start(unsigned requests_per_second)
{
    const std::chrono::microseconds interval{std::chrono::microseconds{std::chrono::seconds{1}} /
                                             requests_per_second};
    this->ticks = this->caller.loop().run_every(interval, [this] { this->send_one(); });
}

void callers::stop()
{
    this->ticks.reset();
}

void callers::use_extra_route(unsigned number)
{
    this->newest_extra = number;
}

std::size_t callers::open() const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        this->record.requests, [](const auto& request) { return !request->is_settled(); }));
}

http_request callers::make_request(const sent_request& request)
{
    std::string path;
    const auto work = "?work_ms=" + std::to_string(this->random() % longest_work_ms);
    switch (request.kind) {
    case request_kind::order:
        path = "/order/1" + work;
        break;
    case request_kind::read:
        path = "/read/1" + work;
        break;
    case request_kind::stream:
        path = "/stream/1?events=" + std::to_string(request.events) +
               "&event_ms=" + std::to_string(this->random() % longest_event_ms);
        break;
    case request_kind::extra:
        path = "/extra-" + std::to_string(request.extra_route) + "/1" + work;
        break;
    }
    return {"POST",
            path,
            {{"Host", "shop.example"},
             {"Attempt-Id", request.id},
             {"Deadline-Ms", std::to_string(deadline.count())}},
            request.body};
}

void callers::send_one()
{
    const auto reached = this->gateways();
    if (reached.empty()) {
        return;
    }
    const auto& gateway = reached[this->random() % reached.size()];
    const auto request = std::make_shared<sent_request>();
    request->id = "r" + std::to_string(++this->last_id);
    request->body = "body of " + request->id;
    request->kind = draw_kind(this->random() % of_each_twenty, this->newest_extra > 0);
    request->events = 1 + this->random() % most_events;
    // The newest route, or any other: one that has been served must stay.
    const bool is_newest = this->newest_extra == 0 || this->random() % 2 == 0;
    request->extra_route = is_newest ? this->newest_extra : 1 + this->random() % this->newest_extra;
    request->gateway = gateway.name;
    request->sent = std::chrono::steady_clock::now();
    this->record.requests.push_back(request);
    this->caller.start_into(request, gateway.address, this->make_request(*request), {patience, true});
}

} // namespace tanager::soak
