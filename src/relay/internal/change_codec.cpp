#include "relay/change_codec.h"

#include "base/byte_codec.h"

namespace tanager {

namespace {

// Version 1 was MessagePack, whose decoder calls itself for each level of nesting.
constexpr std::uint64_t codec_version = 2;
// The lengths of an object's name and value, its version and whether it was deleted.
constexpr std::size_t min_object_bytes = 4;

std::string encode(const relayed_changes& relayed, bool is_omitted)
{
    byte_writer writer;
    writer.write_number(codec_version);
    writer.write_text(relayed.sender);
    writer.write_text(relayed.prefix);
    writer.write_number(relayed.changes.since);
    writer.write_number(relayed.changes.revision);
    writer.write_number(is_omitted ? 1 : 0);
    writer.write_number(is_omitted ? 0 : relayed.changes.objects.size());
    if (!is_omitted) {
        for (const auto& object : relayed.changes.objects) {
            writer.write_text(object.name);
            writer.write_number(object.version);
            writer.write_number(object.deleted ? 1 : 0);
            writer.write_text(object.value);
        }
    }
    return writer.bytes();
}

} // namespace

std::string encode_changes(const relayed_changes& relayed, std::size_t max_bytes)
{
    auto datagram = encode(relayed, relayed.is_omitted);
    return datagram.size() <= max_bytes ? datagram : encode(relayed, true);
}

result<relayed_changes> decode_changes(std::string_view datagram)
{
    byte_reader reader(datagram);
    if (reader.read_number() != codec_version) {
        return fail(result_code::request_malformed, "not a message with changes");
    }
    relayed_changes relayed;
    relayed.sender = reader.read_text();
    relayed.prefix = reader.read_text();
    relayed.changes.since = reader.read_number();
    relayed.changes.revision = reader.read_number();
    relayed.is_omitted = reader.read_number() != 0;
    const auto count = reader.read_count(min_object_bytes);
    for (std::size_t index = 0; index < count && reader.is_valid(); ++index) {
        stored_object object;
        object.name = reader.read_text();
        object.version = reader.read_number();
        object.deleted = reader.read_number() != 0;
        object.value = reader.read_text();
        relayed.changes.objects.push_back(std::move(object));
    }
    if (!reader.is_complete()) {
        return fail(result_code::request_malformed, "malformed changes");
    }
    return relayed;
}

} // namespace tanager
