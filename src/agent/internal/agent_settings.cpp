#include "agent/types/agent_settings.h"

namespace tanager {

namespace {

constexpr integer_range piece_range{1, 1'000'000};
constexpr integer_range queue_range{0, 100'000};
constexpr integer_range interval_range{10, 10'000};
constexpr integer_range bandwidth_range{1'000, 10'000'000};
constexpr std::int64_t default_capacity_pieces = 64;
constexpr std::int64_t default_control_bytes_per_second = 15'000;

} // namespace

agent_settings load_agent_settings(settings_reader& reader)
{
    const agent_settings defaults;
    agent_settings settings;
    settings.host = reader.read_required_text({"agent", "host"});
    settings.data_centre = reader.read_required_text({"agent", "data_centre"});
    settings.grpc_listen = reader.read_address({"agent", "listen"}, "");
    settings.http_listen = reader.read_address({"agent", "http_listen"}, "");
    settings.backend_address = reader.read_address({"backend", "address"}, "");
    settings.capacity_pieces = static_cast<std::uint32_t>(
        reader.read_integer({"backend", "capacity_pieces"}, default_capacity_pieces, piece_range));
    const auto queue_default = static_cast<std::int64_t>(defaults.request_queue_limits.max_requests);
    const auto member_default =
        static_cast<std::int64_t>(defaults.request_queue_limits.max_requests_per_member);
    settings.request_queue_limits.max_requests =
        static_cast<std::size_t>(reader.read_integer({"queue", "requests"}, queue_default, queue_range));
    settings.request_queue_limits.max_requests_per_member = static_cast<std::size_t>(
        reader.read_integer({"queue", "requests_per_member"}, member_default, queue_range));
    settings.min_report_interval = reader.read_milliseconds(
        {"reports", "shortest_interval_ms"}, defaults.min_report_interval, interval_range);
    settings.max_control_bytes_per_second = static_cast<std::uint32_t>(reader.read_integer(
        {"reports", "bytes_per_second"}, default_control_bytes_per_second, bandwidth_range));
    return settings;
}

} // namespace tanager
