#include "program/admin_endpoints.h"

#include "program/process_usage.h"

namespace tanager {

namespace {

constexpr int status_ok = 200;
constexpr int status_unavailable = 503;

} // namespace

admin_endpoints::admin_endpoints(metrics_registry& metrics,
                                 const logging_invariant_monitor& invariants,
                                 std::function<std::string()> not_ready_reason,
                                 std::function<void()> update_gauges)
    : metrics(metrics),
      invariants(invariants),
      not_ready_reason(std::move(not_ready_reason)),
      update_gauges(std::move(update_gauges))
{
}

bool admin_endpoints::serve(http_exchange& exchange) const
{
    const auto& path = exchange.request().path;
    if (path == "/healthz") {
        const std::string reason = this->not_ready_reason();
        const int status = reason.empty() ? status_ok : status_unavailable;
        exchange.send_response(
            {status, {{"Content-Type", "text/plain"}}, (reason.empty() ? "ok" : reason) + "\n"});
        return true;
    }
    if (path != "/metrics") {
        return false;
    }
    this->update_gauges();
    const auto usage = read_process_usage();
    this->metrics.set_gauge("process_cpu_seconds_total",
                            std::chrono::duration<double>(usage.processor_time).count());
    this->metrics.set_gauge("process_resident_memory_bytes", static_cast<double>(usage.resident_bytes));
    std::string text = this->metrics.render();
    for (const auto& [which, amount] : this->invariants.counts()) {
        text += "tanager_invariant_violations_total{invariant=\"" + std::string{name_of(which)} + "\"} " +
                std::to_string(amount) + "\n";
    }
    exchange.send_response({status_ok, {{"Content-Type", "text/plain; version=0.0.4"}}, text});
    return true;
}

} // namespace tanager
