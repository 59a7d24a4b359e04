// Digests: SHA-256 for secrets, XXH3 for placement and fingerprints, XXH64 for incremental checksums.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace tanager {

// Returns the SHA-256 digest of a text as 64 lower-case hexadecimal digits.
std::string sha256_hex(std::string_view text);

// Compares two texts in time that depends only on their lengths.
bool equal_in_constant_time(std::string_view left, std::string_view right);

// Returns a 64-bit non-cryptographic hash, identical on every host of the fleet.
std::uint64_t hash64(std::string_view text, std::uint64_t seed = 0);

// Computes a checksum incrementally (XXH64). The value does not depend on how the text is split into chunks.
class incremental_checksum {
public:
    incremental_checksum();
    ~incremental_checksum();
    incremental_checksum(const incremental_checksum&) = delete;
    incremental_checksum& operator=(const incremental_checksum&) = delete;
    incremental_checksum(incremental_checksum&&) = delete;
    incremental_checksum& operator=(incremental_checksum&&) = delete;

    void update(std::string_view chunk);

    // Returns the checksum of all chunks so far.
    std::uint64_t value() const;

private:
    struct hash_state;
    std::unique_ptr<hash_state> state;
};

} // namespace tanager
