#include "stream_fleet.h"

#include <thread>

namespace review {

namespace {

constexpr int status_failed = 500;
constexpr int status_ok = 200;
constexpr std::chrono::milliseconds silence_check{20};

} // namespace

stream_fleet::stream_fleet(test_case& test, const fleet_settings& settings, stream_fault fault)
    : test(test), settings(settings), fault(fault)
{
}

void stream_fleet::start_servers()
{
    for (int number = 1; number <= this->settings.servers; ++number) {
        this->test.add_server("desk",
                              "i-" + std::to_string(number),
                              [this](backend_server& server, connection& peer, const http_message& request) {
                                  return this->serve(server, peer, request);
                              });
    }
}

void stream_fleet::set_failing(const std::string& id, double share)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->failing_id = id;
    this->failing_share = share;
}

void stream_fleet::set_in_trouble(const std::set<std::string>& ids)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    std::string text;
    for (const auto& id : ids) {
        text += " " + id;
    }
    this->test.record.write("servers", ids.empty() ? "all are well" : "in trouble:" + text);
    this->troubled_ids = ids;
}

bool stream_fleet::is_in_trouble(const std::string& id)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->troubled_ids.contains(id);
}

// Spreads the failures evenly over the requests.
bool stream_fleet::fails_now(const std::string& id)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (id != this->failing_id) {
        return false;
    }
    this->failing_credit += this->failing_share;
    if (this->failing_credit < 1) {
        return false;
    }
    this->failing_credit -= 1;
    return true;
}

bool stream_fleet::end_in_trouble(backend_server& server, connection& peer, const std::string& event)
{
    const auto half = event.substr(0, event.size() / 2);
    peer.send(half.empty() ? half : make_chunk(half));
    if (this->fault == stream_fault::stay_silent) {
        while (this->is_in_trouble(server.id()) && !peer.wait_for_input(silence_check)) {
        }
    }
    this->test.record.write(server.id(), half.empty() ? "sends nothing" : "stops inside an event");
    return false;
}

bool stream_fleet::serve(backend_server& server, connection& peer, const http_message& request)
{
    if (this->is_in_trouble(server.id())) {
        return this->end_in_trouble(server, peer, {});
    }
    server.begin_run(request);
    if (this->fails_now(server.id())) {
        this->test.record.write(server.id(), "fails " + request.header_or("Attempt-Id", {}));
        return peer.send(make_response(status_failed, answer_headers(request), "failed\n"));
    }
    peer.send(start_of_stream(request));
    const auto id = request.header_or("Attempt-Id", {});
    for (auto number = first_event_number(request); number <= this->settings.events; ++number) {
        const auto event = make_event(id, number);
        if (this->is_in_trouble(server.id())) {
            return this->end_in_trouble(server, peer, event);
        }
        peer.send(make_chunk(event));
        std::this_thread::sleep_for(this->settings.event_interval);
    }
    return peer.send(end_of_stream());
}

void stream_fleet::ask_until(const std::string& gateway, int caller, steady_time end)
{
    for (int number = 1; std::chrono::steady_clock::now() < end; ++number) {
        const auto id = "draft-" + std::to_string(caller) + "-" + std::to_string(number);
        const auto result = fetch_stream(gateway, "/draft/" + id, id);
        const bool is_stream = result.status == status_ok;
        const bool breaks_rule = is_stream && !is_in_order(result, id, this->settings.events);
        this->test.record.write("caller",
                                id + " gets status " + std::to_string(result.status) +
                                    (result.is_complete ? ", complete" : ", cut") +
                                    (breaks_rule ? ": ORDER is broken, the bytes are\n" + result.body : ""));
        this->complete += is_stream && result.is_complete && !breaks_rule ? 1 : 0;
        this->broken += breaks_rule ? 1 : 0;
        if (result.status != status_ok) {
            std::this_thread::sleep_for(this->settings.event_interval);
        }
    }
}

void stream_fleet::run_callers(const std::string& gateway, std::chrono::milliseconds time)
{
    const auto end = std::chrono::steady_clock::now() + time;
    std::vector<std::thread> callers;
    for (int caller = 1; caller <= this->settings.callers; ++caller) {
        callers.emplace_back([this, gateway, caller, end] { this->ask_until(gateway, caller, end); });
    }
    for (auto& caller : callers) {
        caller.join();
    }
}

int stream_fleet::complete_streams() const
{
    return this->complete;
}

int stream_fleet::broken_streams() const
{
    return this->broken;
}

} // namespace review
