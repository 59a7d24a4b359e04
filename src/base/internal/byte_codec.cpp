#include "base/byte_codec.h"

namespace tanager {

namespace {

constexpr unsigned bits_per_byte = 8;
constexpr unsigned bits_per_varint_byte = 7;
constexpr unsigned max_shift = 63;
constexpr std::uint64_t varint_value_mask = 0x7f;
constexpr std::uint64_t varint_continuation = 0x80;
constexpr std::uint64_t byte_mask = 0xff;
constexpr std::size_t hash_bytes = sizeof(std::uint32_t);

} // namespace

void byte_writer::write_number(std::uint64_t value)
{
    while (value > varint_value_mask) {
        this->written.push_back(static_cast<char>((value & varint_value_mask) | varint_continuation));
        value >>= bits_per_varint_byte;
    }
    this->written.push_back(static_cast<char>(value));
}

void byte_writer::write_hash(std::uint32_t hash)
{
    for (std::size_t index = 0; index < hash_bytes; ++index) {
        this->written.push_back(static_cast<char>((hash >> (index * bits_per_byte)) & byte_mask));
    }
}

void byte_writer::write_text(std::string_view text)
{
    this->write_number(text.size());
    this->written.append(text);
}

const std::string& byte_writer::bytes() const
{
    return this->written;
}

byte_reader::byte_reader(std::string_view bytes) : remaining(bytes) {}

std::uint64_t byte_reader::invalidate()
{
    this->valid = false;
    this->remaining = {};
    return 0;
}

std::uint64_t byte_reader::read_number()
{
    std::uint64_t value = 0;
    for (unsigned shift = 0; shift <= max_shift; shift += bits_per_varint_byte) {
        if (this->remaining.empty()) {
            return this->invalidate();
        }
        const auto byte = static_cast<unsigned char>(this->remaining.front());
        this->remaining.remove_prefix(1);
        value |= (byte & varint_value_mask) << shift;
        if ((byte & varint_continuation) == 0) {
            return value;
        }
    }
    return this->invalidate();
}

std::uint32_t byte_reader::read_hash()
{
    if (this->remaining.size() < hash_bytes) {
        return static_cast<std::uint32_t>(this->invalidate());
    }
    std::uint32_t hash = 0;
    for (std::size_t index = 0; index < hash_bytes; ++index) {
        const auto byte = static_cast<unsigned char>(this->remaining[index]);
        hash |= static_cast<std::uint32_t>(byte) << (index * bits_per_byte);
    }
    this->remaining.remove_prefix(hash_bytes);
    return hash;
}

std::string_view byte_reader::read_text()
{
    const auto length = this->read_count(1);
    const auto text = this->remaining.substr(0, length);
    this->remaining.remove_prefix(length);
    return text;
}

std::size_t byte_reader::read_count(std::size_t min_element_bytes)
{
    const auto count = this->read_number();
    if (count > this->remaining.size() / min_element_bytes) {
        return this->invalidate();
    }
    return count;
}

bool byte_reader::is_valid() const
{
    return this->valid;
}

bool byte_reader::is_complete() const
{
    return this->valid && this->remaining.empty();
}

} // namespace tanager
