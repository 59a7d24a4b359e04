// The kinds of entry that operators put into the catalogue.
#pragma once

#include "base/types/result.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace tanager {

// Upper bound of one member's concurrent work in one pool, in pieces of about 2,000 tokens.
struct pool_cap {
    std::string pool;
    std::uint32_t pieces = 0;

    friend bool operator==(const pool_cap&, const pool_cap&) = default;
};

struct member_entry {
    std::string name;
    std::vector<std::string> key_digests; // SHA-256 of each bearer key, lower-case hexadecimal
    std::vector<pool_cap> caps;

    friend bool operator==(const member_entry&, const member_entry&) = default;

    // Returns the cap in a pool, in pieces; 0 if the member has none there.
    std::uint32_t cap_in(const std::string& pool) const;
};

enum class pool_kind { model, plain_service };

// One agent of a pool and its share slot.
struct pool_agent {
    std::string host;
    std::string data_centre;
    std::string address; // ip:port of the agent
    std::uint32_t share_slot = 0;
    bool draining = false;

    friend bool operator==(const pool_agent&, const pool_agent&) = default;
};

// Backend servers of one model, or of one plain service, in one region. Member caps are divided among a fixed
// number of share slots, so that adding or removing an agent does not change the shares of the others.
struct pool_entry {
    std::string name;
    pool_kind kind = pool_kind::model;
    std::string model;
    std::string region;
    std::uint32_t share_slot_count = 1;
    std::vector<pool_agent> agents;

    friend bool operator==(const pool_entry&, const pool_entry&) = default;
};

// One class of requests of one member, and the settings that apply to them.
struct work_entry {
    std::string name;
    std::string owner;
    std::string work_class;
    std::string pool;
    bool idempotent = true;
    std::uint32_t priority = 0; // higher values run first
    std::chrono::milliseconds deadline{60'000};
    std::chrono::milliseconds first_token_target{1'100};
    std::chrono::milliseconds token_target{48};
    std::uint32_t max_output_tokens = 4'096;

    friend bool operator==(const work_entry&, const work_entry&) = default;
};

using catalogue_entry = std::variant<member_entry, pool_entry, work_entry>;

// Parses and validates one entry. `object_name` is `member/<name>`, `pool/<name>` or `work/<name>`.
// Fails with catalogue_invalid; the detail lists all problems, one per line.
result<catalogue_entry> parse_catalogue_entry(const std::string& object_name, const std::string& json);

// Returns the part of a cap that belongs to one share slot; the parts of all slots add up to the cap. Returns
// 0 if `slot` is not below `slot_count`.
std::uint32_t cap_share_of_slot(std::uint32_t cap, std::uint32_t slot_count, std::uint32_t slot);

} // namespace tanager
