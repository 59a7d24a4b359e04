#include "quarantine/crash_suspicion_codec.h"

#include "base/byte_codec.h"

#include <algorithm>

namespace tanager {

namespace {

constexpr std::uint64_t codec_version = 1;
// The shortest encodings of a suspicion and of an end.
constexpr std::size_t min_suspicion_bytes = 4;
constexpr std::size_t min_end_bytes = 2;
// Longer than any suspicion counts.
constexpr std::uint64_t max_age_ms = 86'400'000;

} // namespace

std::string encode_suspicions(const std::vector<crash_suspicion>& suspicions)
{
    byte_writer writer;
    writer.write_number(codec_version);
    writer.write_number(suspicions.size());
    for (const auto& suspicion : suspicions) {
        writer.write_number(suspicion.fingerprint);
        writer.write_number(suspicion.clearances);
        writer.write_number(static_cast<std::uint64_t>(std::max<std::int64_t>(suspicion.age.count(), 0)));
        writer.write_number(suspicion.ends.size());
        for (const auto& end : suspicion.ends) {
            writer.write_number(end.server);
            writer.write_number(end.is_confirmed ? 1 : 0);
        }
    }
    return writer.bytes();
}

result<std::vector<crash_suspicion>> decode_suspicions(std::string_view message)
{
    byte_reader reader(message);
    if (reader.read_number() != codec_version) {
        return fail(result_code::request_malformed, "not crash suspicions of this version");
    }
    std::vector<crash_suspicion> suspicions(reader.read_count(min_suspicion_bytes));
    for (auto& suspicion : suspicions) {
        suspicion.fingerprint = reader.read_number();
        suspicion.clearances = reader.read_number();
        suspicion.age = std::chrono::milliseconds{std::min(reader.read_number(), max_age_ms)};
        suspicion.ends.resize(reader.read_count(min_end_bytes));
        for (auto& end : suspicion.ends) {
            end.server = reader.read_number();
            end.is_confirmed = reader.read_number() != 0;
        }
    }
    if (!reader.is_complete()) {
        return fail(result_code::request_malformed, "crash suspicions are cut off or have further bytes");
    }
    return suspicions;
}

} // namespace tanager
