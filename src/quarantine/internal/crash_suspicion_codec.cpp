#include "quarantine/crash_suspicion_codec.h"

#include "base/byte_codec.h"

#include <algorithm>

namespace tanager {

namespace {

constexpr std::uint64_t codec_version = 3;
// The shortest encodings of a suspicion and of an end.
constexpr std::size_t min_suspicion_bytes = 4;
constexpr std::size_t min_end_bytes = 4;
// The version and the number of suspicions.
constexpr std::size_t max_header_bytes = 4;
constexpr std::uint64_t confirmed_flag = 1;
constexpr std::uint64_t excused_flag = 2;
// Longer than any suspicion counts.
constexpr std::uint64_t max_age_ms = 86'400'000;

std::uint64_t to_milliseconds(duration span)
{
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
    return static_cast<std::uint64_t>(std::max<std::int64_t>(milliseconds, 0));
}

std::chrono::milliseconds read_milliseconds(byte_reader& reader)
{
    return std::chrono::milliseconds{std::min(reader.read_number(), max_age_ms)};
}

std::string encode_suspicion(const crash_suspicion& suspicion, time_point now)
{
    byte_writer writer;
    writer.write_number(suspicion.trait.fingerprint);
    writer.write_number(suspicion.trait.specificity);
    writer.write_number(to_milliseconds(suspicion.age));
    writer.write_number(suspicion.ends.size());
    for (const auto& end : suspicion.ends) {
        writer.write_number(end.server);
        writer.write_number((end.is_confirmed ? confirmed_flag : 0) | (end.is_excused ? excused_flag : 0));
        writer.write_number(to_milliseconds(now - end.ended_at));
        writer.write_number(to_milliseconds(end.ended_at - end.sent_at));
    }
    return writer.bytes();
}

} // namespace

std::vector<std::string> encode_suspicions(const std::vector<crash_suspicion>& suspicions,
                                           std::size_t max_message_bytes,
                                           time_point now)
{
    std::vector<std::string> messages;
    std::string batch;
    std::size_t batch_size = 0;
    const auto finish_message = [&] {
        if (batch_size > 0) {
            byte_writer header;
            header.write_number(codec_version);
            header.write_number(batch_size);
            messages.push_back(header.bytes() + batch);
        }
        batch.clear();
        batch_size = 0;
    };
    for (const auto& suspicion : suspicions) {
        const auto encoded = encode_suspicion(suspicion, now);
        if (max_header_bytes + batch.size() + encoded.size() > max_message_bytes) {
            finish_message();
        }
        batch += encoded;
        ++batch_size;
    }
    finish_message();
    return messages;
}

result<std::vector<crash_suspicion>> decode_suspicions(std::string_view message, time_point now)
{
    byte_reader reader(message);
    if (reader.read_number() != codec_version) {
        return fail(result_code::request_malformed, "not crash suspicions of this version");
    }
    std::vector<crash_suspicion> suspicions(reader.read_count(min_suspicion_bytes));
    for (auto& suspicion : suspicions) {
        suspicion.trait.fingerprint = reader.read_number();
        suspicion.trait.specificity = static_cast<std::uint32_t>(
            std::min<std::uint64_t>(reader.read_number(), request_trait::content_specificity));
        suspicion.age = read_milliseconds(reader);
        suspicion.ends.resize(reader.read_count(min_end_bytes));
        for (auto& end : suspicion.ends) {
            end.server = reader.read_number();
            const auto flags = reader.read_number();
            end.is_confirmed = (flags & confirmed_flag) != 0;
            end.is_excused = (flags & excused_flag) != 0;
            end.ended_at = now - read_milliseconds(reader);
            end.sent_at = end.ended_at - read_milliseconds(reader);
        }
    }
    if (!reader.is_complete()) {
        return fail(result_code::request_malformed, "crash suspicions are cut off or have further bytes");
    }
    return suspicions;
}

} // namespace tanager
