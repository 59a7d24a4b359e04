#include "peers/load_codec.h"

#include "base/byte_codec.h"

#include <limits>

namespace tanager {

namespace {

constexpr std::uint64_t codec_version = 9;
// The shortest encodings of a list's elements: a hash and a byte for each number.
constexpr std::size_t min_hash_bytes = 4;
constexpr std::size_t min_load_bytes = min_hash_bytes + 3;
constexpr std::size_t min_demand_bytes = min_hash_bytes + 2;
constexpr std::size_t min_prefix_bytes = 2 * min_hash_bytes;
constexpr std::size_t min_confirmation_bytes = min_hash_bytes + 4;
constexpr std::size_t min_event_times_bytes = min_hash_bytes + 4;

std::uint32_t read_number32(byte_reader& reader)
{
    const auto number = reader.read_number();
    return number > std::numeric_limits<std::uint32_t>::max() ? std::numeric_limits<std::uint32_t>::max()
                                                              : static_cast<std::uint32_t>(number);
}

// Reads the elements of a list in the order in which `write_list` has written them.
template <typename Element, typename Read>
std::vector<Element> read_list(byte_reader& reader, std::size_t min_element_bytes, Read read_element)
{
    const auto count = reader.read_count(min_element_bytes);
    std::vector<Element> elements;
    elements.reserve(count);
    for (std::size_t index = 0; index < count; ++index) {
        elements.push_back(read_element());
    }
    return elements;
}

template <typename Element, typename Write>
void write_list(byte_writer& writer, const std::vector<Element>& elements, Write write_element)
{
    writer.write_number(elements.size());
    for (const auto& element : elements) {
        write_element(element);
    }
}

} // namespace

std::string encode_report(const named_report& named)
{
    const auto& report = named.report;
    byte_writer writer;
    writer.write_number(codec_version);
    writer.write_text(named.sender);
    writer.write_number(report.incarnation);
    writer.write_number(report.sequence);
    writer.write_number(report.is_store_failing ? 1 : 0);
    write_list(writer, report.loads, [&](const server_load& load) {
        writer.write_hash(load.server);
        writer.write_number(load.running);
        writer.write_number(load.pending_prefill_tokens);
        writer.write_number(load.long_outputs);
    });
    write_list(writer, report.demands, [&](const service_demand& demand) {
        writer.write_hash(demand.service);
        writer.write_number(demand.prompts_per_second);
        writer.write_number(demand.isolates_long_outputs ? 1 : 0);
    });
    write_list(writer, report.role_change_servers, [&](std::uint32_t server) { writer.write_hash(server); });
    write_list(writer, report.new_prefixes, [&](const sent_prefix& sent) {
        writer.write_hash(sent.server);
        writer.write_hash(sent.prefix);
    });
    write_list(writer, report.confirmations, [&](const feed_confirmation& confirmation) {
        writer.write_hash(confirmation.feed);
        writer.write_number(confirmation.last_change);
        writer.write_number(confirmation.revision);
        writer.write_number(static_cast<std::uint64_t>(confirmation.age.count()));
        writer.write_number(static_cast<std::uint64_t>(confirmation.asked_age.count()));
    });
    writer.write_number(report.link_wait_milliseconds);
    writer.write_number(report.interval_milliseconds);
    write_list(writer, report.event_times, [&](const server_event_times& times) {
        writer.write_hash(times.server);
        writer.write_number(times.events);
        writer.write_number(static_cast<std::uint64_t>(times.total.count()));
        writer.write_number(times.running);
        writer.write_number(static_cast<std::uint64_t>(times.age.count()));
    });
    return writer.bytes();
}

result<named_report> decode_report(std::string_view datagram)
{
    byte_reader reader(datagram);
    if (reader.read_number() != codec_version) {
        return fail(result_code::request_malformed, "not a load report of this version");
    }
    named_report named;
    named.sender = reader.read_text();
    auto& report = named.report;
    report.incarnation = reader.read_number();
    report.sequence = reader.read_number();
    report.is_store_failing = reader.read_number() != 0;
    report.loads = read_list<server_load>(reader, min_load_bytes, [&] {
        return server_load{
            reader.read_hash(), read_number32(reader), read_number32(reader), read_number32(reader)};
    });
    report.demands = read_list<service_demand>(reader, min_demand_bytes, [&] {
        return service_demand{reader.read_hash(), read_number32(reader), reader.read_number() != 0};
    });
    report.role_change_servers =
        read_list<std::uint32_t>(reader, min_hash_bytes, [&] { return reader.read_hash(); });
    report.new_prefixes = read_list<sent_prefix>(reader, min_prefix_bytes, [&] {
        return sent_prefix{reader.read_hash(), reader.read_hash()};
    });
    report.confirmations = read_list<feed_confirmation>(reader, min_confirmation_bytes, [&] {
        return feed_confirmation{reader.read_hash(),
                                 reader.read_number(),
                                 reader.read_number(),
                                 std::chrono::milliseconds{read_number32(reader)},
                                 std::chrono::milliseconds{read_number32(reader)}};
    });
    report.link_wait_milliseconds = read_number32(reader);
    report.interval_milliseconds = read_number32(reader);
    report.event_times = read_list<server_event_times>(reader, min_event_times_bytes, [&] {
        return server_event_times{reader.read_hash(),
                                  read_number32(reader),
                                  std::chrono::milliseconds{read_number32(reader)},
                                  read_number32(reader),
                                  std::chrono::milliseconds{read_number32(reader)}};
    });
    if (!reader.is_complete()) {
        return fail(result_code::request_malformed, "a load report is cut off or has further bytes");
    }
    return named;
}

} // namespace tanager
