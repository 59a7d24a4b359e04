#include "duties/usage_messages.h"

#include "base/byte_codec.h"

namespace tanager {

namespace {

constexpr std::uint64_t codec_version = 1;
// The shortest encoding of an entry: two numbers and the length of a name.
constexpr std::size_t min_entry_bytes = 3;
// In the year 2109. Clocks count nanoseconds in 63 bits, and differences of two times are taken.
constexpr std::uint64_t max_time_milliseconds = std::uint64_t{1} << 42U;

void write_sender(byte_writer& writer, const usage_sender& sender)
{
    writer.write_text(sender.gateway);
    writer.write_number(sender.instance);
    const auto since_1970 =
        std::chrono::duration_cast<std::chrono::milliseconds>(sender.time.time_since_epoch());
    writer.write_number(static_cast<std::uint64_t>(std::max<std::int64_t>(0, since_1970.count())));
}

usage_sender read_sender(byte_reader& reader)
{
    usage_sender sender;
    sender.gateway = reader.read_text();
    sender.instance = reader.read_number();
    const auto milliseconds = std::min(reader.read_number(), max_time_milliseconds);
    sender.time = wall_time_point{std::chrono::milliseconds{static_cast<std::int64_t>(milliseconds)}};
    return sender;
}

void write_rest(byte_writer& writer, const usage_counts_message& message)
{
    writer.write_number(message.sequence);
    writer.write_number(message.entries.size());
    for (const auto& entry : message.entries) {
        writer.write_number(entry.window);
        writer.write_text(entry.organisation);
        writer.write_number(entry.count);
    }
}

void write_rest(byte_writer& writer, const usage_acknowledgement& message)
{
    writer.write_number(message.sequence);
}

void write_rest(byte_writer& writer, const usage_announcement& message)
{
    writer.write_number(message.token);
    writer.write_number(message.voters);
    writer.write_number(message.fixed_through);
    writer.write_number(message.is_resigning ? 1 : 0);
}

void write_rest(byte_writer& writer, const usage_fixed_notice& message)
{
    writer.write_number(message.fixed_through);
}

void read_rest(byte_reader& reader, usage_counts_message& message)
{
    message.sequence = reader.read_number();
    const auto count = reader.read_count(min_entry_bytes);
    for (std::size_t index = 0; index < count; ++index) {
        usage_entry entry;
        entry.window = reader.read_number();
        entry.organisation = reader.read_text();
        entry.count = reader.read_number();
        message.entries.push_back(std::move(entry));
    }
}

void read_rest(byte_reader& reader, usage_acknowledgement& message)
{
    message.sequence = reader.read_number();
}

void read_rest(byte_reader& reader, usage_announcement& message)
{
    message.token = reader.read_number();
    message.voters = reader.read_number();
    message.fixed_through = reader.read_number();
    message.is_resigning = reader.read_number() != 0;
}

void read_rest(byte_reader& reader, usage_fixed_notice& message)
{
    message.fixed_through = reader.read_number();
}

template <class message_type>
usage_message read_message(byte_reader& reader)
{
    message_type message;
    message.sender = read_sender(reader);
    read_rest(reader, message);
    return message;
}

} // namespace

std::string encode_usage_message(const usage_message& message)
{
    byte_writer writer;
    writer.write_number(codec_version);
    writer.write_number(message.index());
    std::visit(
        [&writer](const auto& alternative) {
            write_sender(writer, alternative.sender);
            write_rest(writer, alternative);
        },
        message);
    return writer.bytes();
}

result<usage_message> decode_usage_message(std::string_view bytes)
{
    constexpr std::uint64_t counts_index = 0;
    constexpr std::uint64_t acknowledgement_index = 1;
    constexpr std::uint64_t announcement_index = 2;
    constexpr std::uint64_t notice_index = 3;
    byte_reader reader(bytes);
    const auto version = reader.read_number();
    const auto index = reader.read_number();
    if (version != codec_version || index > notice_index) {
        return fail(result_code::request_malformed, "a usage message of an unknown form");
    }
    auto message = index == counts_index            ? read_message<usage_counts_message>(reader)
                   : index == acknowledgement_index ? read_message<usage_acknowledgement>(reader)
                   : index == announcement_index    ? read_message<usage_announcement>(reader)
                                                    : read_message<usage_fixed_notice>(reader);
    if (!reader.is_complete()) {
        return fail(result_code::request_malformed, "a usage message that is cut or too long");
    }
    return message;
}

} // namespace tanager
