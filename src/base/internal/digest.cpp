#include "base/digest.h"

#include <array>
#include <openssl/crypto.h>
#include <openssl/sha.h>
#include <xxhash.h>

namespace tanager {

namespace {

constexpr unsigned bits_per_digit = 4;
constexpr unsigned digit_mask = 0x0F;

} // namespace

std::string sha256_hex(std::string_view text)
{
    static constexpr std::string_view digits = "0123456789abcdef";
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    // OpenSSL takes bytes as unsigned char.
    SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(), digest.data()); // NOLINT
    std::string hex;
    hex.reserve(digest.size() * 2);
    for (const unsigned char byte : digest) {
        hex.push_back(digits.at(byte >> bits_per_digit));
        hex.push_back(digits.at(byte & digit_mask));
    }
    return hex;
}

bool equal_in_constant_time(std::string_view left, std::string_view right)
{
    if (left.size() != right.size()) {
        return false;
    }
    return CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

std::uint64_t hash64(std::string_view text, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

struct incremental_checksum::hash_state {
    std::unique_ptr<XXH64_state_t, decltype(&XXH64_freeState)> native{XXH64_createState(), &XXH64_freeState};
};

incremental_checksum::incremental_checksum() : state(std::make_unique<hash_state>())
{
    XXH64_reset(this->state->native.get(), 0);
}

incremental_checksum::~incremental_checksum() = default;

void incremental_checksum::update(std::string_view chunk)
{
    XXH64_update(this->state->native.get(), chunk.data(), chunk.size());
}

std::uint64_t incremental_checksum::value() const
{
    return XXH64_digest(this->state->native.get());
}

} // namespace tanager
