// Digests: SHA-256 for secrets, XXH3 for placement and checksums.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace tanager {

// Returns the SHA-256 digest of a text as 64 lower-case hexadecimal digits.
std::string sha256_hex(std::string_view text);

// Compares two texts in a time that depends on their lengths only.
bool equal_in_constant_time(std::string_view left, std::string_view right);

// Returns a 64-bit non-cryptographic hash, equal on every host of the fleet.
std::uint64_t hash64(std::string_view text, std::uint64_t seed = 0);

// A checksum fed piece by piece; how the text was cut does not change it.
class incremental_checksum {
public:
    incremental_checksum();
    ~incremental_checksum();
    incremental_checksum(const incremental_checksum&) = delete;
    incremental_checksum& operator=(const incremental_checksum&) = delete;
    incremental_checksum(incremental_checksum&&) = delete;
    incremental_checksum& operator=(incremental_checksum&&) = delete;

    void update(std::string_view chunk);

    // Returns the checksum of everything fed so far.
    std::uint64_t value() const;

private:
    struct hash_state;
    std::unique_ptr<hash_state> state;
};

} // namespace tanager
