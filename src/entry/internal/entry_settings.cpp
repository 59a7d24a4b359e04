#include "entry/types/entry_settings.h"

namespace tanager {

namespace {

constexpr integer_range body_bytes_range{1'024, 64LL * 1024 * 1024};
constexpr integer_range header_bytes_range{1'024, 1'048'576};
constexpr integer_range descriptor_range{16, 1'000'000};
constexpr integer_range idle_seconds_range{1, 3'600};
constexpr integer_range timeout_milliseconds_range{10, 60'000};
constexpr integer_range interval_milliseconds_range{100, 300'000};
constexpr integer_range watcher_range{1, 100};
constexpr integer_range request_range{1, 1'000'000};
constexpr integer_range agent_range{1, 2'000};
constexpr integer_range attempt_range{1, 10};
constexpr integer_range percent_range{0, 100};
constexpr std::int64_t default_retry_percent = 10;
constexpr double hundred_percent = 100.0;

void load_http(settings_reader& reader, entry_settings& settings)
{
    const http_server_limits defaults;
    settings.http_limits.max_body_bytes = static_cast<std::size_t>(reader.read_integer(
        {"http", "body_bytes"}, static_cast<std::int64_t>(defaults.max_body_bytes), body_bytes_range));
    settings.http_limits.max_header_bytes = static_cast<std::size_t>(reader.read_integer(
        {"http", "header_bytes"}, static_cast<std::int64_t>(defaults.max_header_bytes), header_bytes_range));
    settings.http_limits.max_descriptors = static_cast<int>(
        reader.read_integer({"http", "descriptors"}, defaults.max_descriptors, descriptor_range));
    settings.http_limits.idle_timeout = std::chrono::seconds{
        reader.read_integer({"http", "idle_seconds"}, defaults.idle_timeout.count(), idle_seconds_range)};
}

void load_platform(settings_reader& reader, entry_settings& settings)
{
    const entry_settings defaults;
    settings.platform_address = reader.read_address({"platform", "address"}, "");
    settings.platform_timeout = reader.read_milliseconds(
        {"platform", "timeout_ms"}, defaults.platform_timeout, timeout_milliseconds_range);
    settings.watch_poll_timeout = reader.read_milliseconds(
        {"platform", "watch_wait_ms"}, defaults.watch_poll_timeout, interval_milliseconds_range);
    settings.host_list_interval = reader.read_milliseconds(
        {"platform", "host_list_interval_ms"}, defaults.host_list_interval, interval_milliseconds_range);
    settings.watchers_per_data_centre = static_cast<std::size_t>(
        reader.read_integer({"platform", "watchers_per_data_centre"},
                            static_cast<std::int64_t>(defaults.watchers_per_data_centre),
                            watcher_range));
}

void load_routing(settings_reader& reader, entry_settings& settings)
{
    const entry_settings defaults;
    settings.max_open_requests = static_cast<std::size_t>(reader.read_integer(
        {"limits", "open_requests"}, static_cast<std::int64_t>(defaults.max_open_requests), request_range));
    settings.max_agents_per_pool =
        static_cast<std::size_t>(reader.read_integer({"routing", "agents_per_pool"},
                                                     static_cast<std::int64_t>(defaults.max_agents_per_pool),
                                                     agent_range));
    settings.max_attempts = static_cast<std::uint32_t>(
        reader.read_integer({"retries", "attempts"}, defaults.max_attempts, attempt_range));
    settings.retry_budget_ratio = static_cast<double>(reader.read_integer(
                                      {"retries", "percent"}, default_retry_percent, percent_range)) /
                                  hundred_percent;
    settings.retry_reserve = static_cast<double>(reader.read_integer(
        {"retries", "reserve"}, static_cast<std::int64_t>(defaults.retry_reserve), request_range));
}

} // namespace

entry_settings load_entry_settings(settings_reader& reader)
{
    entry_settings settings;
    settings.host = reader.read_required_text({"entry", "host"});
    settings.data_centre = reader.read_required_text({"entry", "data_centre"});
    settings.region = reader.read_required_text({"entry", "region"});
    settings.listen_address = reader.read_address({"http", "listen"}, "");
    load_http(reader, settings);
    load_platform(reader, settings);
    load_routing(reader, settings);
    settings.seed_agent_addresses = reader.read_list({"peers", "agents"});
    for (const auto& address : settings.seed_agent_addresses) {
        if (!is_ipv4_endpoint(address)) {
            reader.add_problem({"peers", "agents"}, "'" + address + "' is not ip:port");
        }
    }
    return settings;
}

} // namespace tanager
