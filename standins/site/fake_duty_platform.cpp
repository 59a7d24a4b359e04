#include "standins/site/fake_duty_platform.h"

#include <chrono>

namespace tanager::standin {

namespace {

constexpr int status_ok = 200;
constexpr int status_malformed = 400;
constexpr int status_not_found = 404;
constexpr int status_unavailable = 503;

} // namespace

fake_duty_platform::fake_duty_platform(event_loop& loop) : loop(loop) {}

void fake_duty_platform::serve(const std::shared_ptr<http_exchange>& exchange)
{
    if (this->faults.serve(*exchange)) {
        return;
    }
    const auto& request = exchange->request();
    if (request.path != "/usage") {
        exchange->send_response({status_not_found, {}, {}});
    } else if (request.method == "GET") {
        exchange->send_response({status_ok, {}, this->calls.dump()});
    } else if (this->faults.value("outage") > 0) {
        exchange->send_response({status_unavailable, {}, {}});
    } else if (this->faults.value("silent") > 0) {
        this->withheld_exchanges.push_back(exchange);
    } else {
        this->accept(exchange);
    }
}

void fake_duty_platform::accept(const std::shared_ptr<http_exchange>& exchange)
{
    const auto& request = exchange->request();
    auto report = nlohmann::json::parse(request.body, nullptr, false);
    const auto holder = find_header(request.headers, "Duty-Holder");
    const auto token = find_header(request.headers, "Fencing-Token");
    if (!report.is_object() || !report.contains("windowIndex") || holder.empty() || token.empty()) {
        exchange->send_response({status_malformed, {}, {}});
        return;
    }
    const auto since_start = std::chrono::steady_clock::now().time_since_epoch();
    report["holder"] = holder;
    report["token"] = std::stoull(token);
    report["atMs"] = std::chrono::duration_cast<std::chrono::milliseconds>(since_start).count();
    this->calls.push_back(report);
    const auto respond = [exchange] {
        exchange->send_response({status_ok, {}, {}});
    };
    const auto delay = this->faults.value("slow_ms");
    if (delay == 0) {
        respond();
        return;
    }
    this->delays.push_back(this->loop.run_after(std::chrono::milliseconds{delay}, respond));
}

} // namespace tanager::standin
