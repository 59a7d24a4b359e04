#include "gateway/types/gateway_settings.h"

#include <limits>

namespace tanager {

namespace {

constexpr integer_range descriptor_range{16, std::numeric_limits<int>::max()};
constexpr integer_range header_bytes_range{1'024, 1'048'576};
constexpr integer_range body_bytes_range{1'024, 64LL * 1024 * 1024};
constexpr integer_range idle_seconds_range{1, 3'600};
constexpr integer_range grace_milliseconds_range{0, 600'000};
constexpr integer_range revocation_milliseconds_range{100, 3'600'000};
constexpr integer_range open_requests_range{1, 1'000'000};
constexpr integer_range percent_range{0, 100};
constexpr std::int64_t default_retry_percent = 20;
constexpr double max_retries_per_request = 1.0;
constexpr double max_retry_slack = 1e6;
constexpr std::chrono::seconds max_retry_window{3'600};
constexpr integer_range gain_percent_range{0, 1'000};
constexpr std::int64_t default_role_gain_percent = 15;
constexpr double percent = 100.0;
constexpr double max_hedging_percent = 50.0;
constexpr double max_link_megabits_per_second = 1e9;
constexpr std::chrono::seconds max_stop_grace{600};
constexpr double max_memory_megabytes = 1e9;
constexpr double max_duty_calls_per_second = 1e6;
constexpr std::chrono::seconds max_usage_window{3'600};
constexpr std::chrono::seconds max_usage_delay{86'400};

void load_http(settings_reader& reader, http_server_limits& http)
{
    const http_server_limits defaults;
    http.max_descriptors = static_cast<int>(
        reader.read_integer({"http", "descriptors"}, defaults.max_descriptors, descriptor_range));
    http.max_header_bytes = static_cast<std::size_t>(reader.read_integer(
        {"http", "header_bytes"}, static_cast<std::int64_t>(defaults.max_header_bytes), header_bytes_range));
    http.max_body_bytes = static_cast<std::size_t>(reader.read_integer(
        {"http", "body_bytes"}, static_cast<std::int64_t>(defaults.max_body_bytes), body_bytes_range));
    http.idle_timeout = std::chrono::seconds{
        reader.read_integer({"http", "idle_seconds"}, defaults.idle_timeout.count(), idle_seconds_range)};
}

void load_retry_bound(settings_reader& reader, fleet_retry_bound& bound)
{
    const fleet_retry_bound defaults;
    const double ratio = static_cast<double>(reader.read_integer(
                             {"retries", "percent"}, default_retry_percent, percent_range)) /
                         percent;
    bound.retries_per_request =
        reader.read_decimal({"retries", "per_request"}, ratio, max_retries_per_request);
    bound.slack = reader.read_decimal({"retries", "slack"}, defaults.slack, max_retry_slack);
    bound.window = reader.read_seconds({"retries", "window_seconds"}, defaults.window, max_retry_window);
}

void load_hedging(settings_reader& reader, hedging_policy& policy)
{
    policy.max_share = reader.read_decimal({"hedging", "percent"}, 0, max_hedging_percent) / percent;
    const auto routes = reader.read_list({"hedging", "routes"});
    policy.routes = {routes.begin(), routes.end()};
}

void load_duties(settings_reader& reader, gateway_settings& settings)
{
    const gateway_settings defaults;
    settings.duties = reader.read_list({"duties", "kinds"});
    settings.duty_address = reader.read_text({"duties", "address"}, {});
    if (!settings.duty_address.empty() && !is_ipv4_endpoint(settings.duty_address)) {
        reader.add_problem({"duties", "address"}, "'" + settings.duty_address + "' is not ip:port");
        settings.duty_address.clear();
    }
    settings.duty_calls_per_second = reader.read_decimal(
        {"duties", "per_second"}, defaults.duty_calls_per_second, max_duty_calls_per_second);
    settings.usage.length =
        reader.read_seconds({"duties", "usage_window_seconds"}, defaults.usage.length, max_usage_window);
    if (settings.usage.length < std::chrono::seconds{1}) {
        reader.add_problem({"duties", "usage_window_seconds"}, "is shorter than a second");
        settings.usage.length = defaults.usage.length;
    }
    settings.usage.max_delay =
        reader.read_seconds({"duties", "usage_late_seconds"}, defaults.usage.max_delay, max_usage_delay);
    settings.usage.tolerance =
        reader.read_decimal({"duties", "usage_tolerance"}, defaults.usage.tolerance, 1);
}

} // namespace

gateway_settings load_gateway_settings(settings_reader& reader)
{
    const gateway_settings defaults;
    gateway_settings settings;
    settings.host = reader.read_required_text({"gateway", "host"});
    settings.data_centre = reader.read_text({"gateway", "data_centre"}, defaults.data_centre);
    settings.region = reader.read_text({"gateway", "region"}, defaults.region);
    settings.listen_address = reader.read_address({"http", "listen"}, "");
    settings.admin_address = reader.read_address({"pages", "listen"}, "");
    settings.peer_address = reader.read_address({"peers", "listen"}, "");
    settings.store_address = reader.read_address({"store", "address"}, "");
    load_http(reader, settings.http_limits);
    settings.link_megabits_per_second = reader.read_decimal(
        {"gateway", "link_megabits"}, defaults.link_megabits_per_second, max_link_megabits_per_second);
    settings.stop_grace =
        reader.read_seconds({"gateway", "stop_grace_seconds"}, defaults.stop_grace, max_stop_grace);
    settings.store_recovery_grace = reader.read_milliseconds(
        {"store", "return_grace_ms"}, defaults.store_recovery_grace, grace_milliseconds_range);
    settings.max_open_requests =
        static_cast<std::size_t>(reader.read_integer({"limits", "open_requests"},
                                                     static_cast<std::int64_t>(defaults.max_open_requests),
                                                     open_requests_range));
    settings.memory_megabytes =
        static_cast<std::size_t>(reader.read_decimal({"limits", "memory_megabytes"},
                                                     static_cast<double>(defaults.memory_megabytes),
                                                     max_memory_megabytes));
    load_retry_bound(reader, settings.retry_bound);
    settings.callers.fail_closed =
        reader.read_flag({"organisations", "fail_closed"}, defaults.callers.fail_closed);
    settings.callers.revocation = reader.read_milliseconds(
        {"organisations", "revocation_ms"}, defaults.callers.revocation, revocation_milliseconds_range);
    load_hedging(reader, settings.hedging);
    settings.role_order_lease = reader.read_milliseconds(
        {"roles", "order_lease_ms"}, defaults.role_order_lease, grace_milliseconds_range);
    settings.min_role_gain_ratio =
        static_cast<double>(reader.read_integer(
            {"roles", "least_gain_percent"}, default_role_gain_percent, gain_percent_range)) /
        percent;
    load_duties(reader, settings);
    return settings;
}

} // namespace tanager
