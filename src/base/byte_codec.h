// Writes and reads numbers and texts in a compact binary form: unsigned numbers as base-128 varints, hashes
// in four bytes, texts with their length in front.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace tanager {

class byte_writer {
public:
    void write_number(std::uint64_t value);
    void write_hash(std::uint32_t hash);
    void write_text(std::string_view text);

    const std::string& bytes() const;

private:
    std::string written;
};

// Reads what a byte_writer has written. After a read beyond the end, or of a malformed number, all further
// reads return zero or an empty text, and `is_valid` returns false.
class byte_reader {
public:
    explicit byte_reader(std::string_view bytes);

    std::uint64_t read_number();
    std::uint32_t read_hash();
    std::string_view read_text();

    // Reads the number of elements that follow, each of at least `min_element_bytes`. Invalid if there is no
    // room for them in the remaining bytes.
    std::size_t read_count(std::size_t min_element_bytes);

    bool is_valid() const;

    // Returns whether all bytes have been read, and all reads were valid.
    bool is_complete() const;

private:
    std::uint64_t invalidate();

    std::string_view remaining;
    bool valid = true;
};

} // namespace tanager
