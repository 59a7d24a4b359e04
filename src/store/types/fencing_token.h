// Orders what a store gives out over its eras: (era, revision) as one rising number.
#pragma once

#include <cstdint>
#include <optional>

namespace tanager {

// A store that comes back from a copy begins a new era and gives the revisions since that copy out again.
// Fencing tokens are sent as JSON numbers, which are exact below 2^53: 2^40 writes are a thousand a second
// for 34 years, and leave room for 8,191 eras.
inline constexpr unsigned revision_bits = 40;
inline constexpr unsigned era_bits = 13;
inline constexpr std::uint64_t max_revision = (std::uint64_t{1} << revision_bits) - 1;
inline constexpr std::uint64_t max_era = (std::uint64_t{1} << era_bits) - 1;

// Returns the token of a write at `revision` of `era`: later writes have higher ones, in later eras too. Both
// must be within their bounds. Versions that an object_store returns are such tokens already.
constexpr std::uint64_t fencing_token(std::uint64_t era, std::uint64_t revision)
{
    return era << revision_bits | revision;
}

constexpr std::uint64_t era_of(std::uint64_t token)
{
    return token >> revision_bits;
}

constexpr std::uint64_t revision_of(std::uint64_t token)
{
    return token & max_revision;
}

// Returns nothing beyond the bounds: what cannot be ordered is not taken.
constexpr std::optional<std::uint64_t> make_fencing_token(std::uint64_t era, std::uint64_t revision)
{
    return era <= max_era && revision <= max_revision ? std::optional{fencing_token(era, revision)}
                                                      : std::nullopt;
}

} // namespace tanager
