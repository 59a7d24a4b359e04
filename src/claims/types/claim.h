// Claims: who may run a keyed non-idempotent request, and what became of it.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace tanager {

// A recorded answer, short enough to be kept in the store.
struct claim_answer {
    int status = 0;
    std::string content_type;
    std::string body;

    friend bool operator==(const claim_answer&, const claim_answer&) = default;
};

enum class claim_state {
    running,  // claimed; it may have run
    complete, // it ran and its answer was whole
    unknown   // it may have run, and nobody will find out
};

// One claimed key.
struct claim_record {
    std::string request_digest; // tells a resend from another request under the same key
    std::string claimant;       // unique to the claim
    std::uint64_t window = 0;
    claim_state state = claim_state::running;
    std::optional<claim_answer> answer;

    friend bool operator==(const claim_record&, const claim_record&) = default;
};

// Who asks for a key, and for what.
struct claim_request {
    std::string key_digest; // of member, work entry and key
    std::string request_digest;
    std::string claimant;

    friend bool operator==(const claim_request&, const claim_request&) = default;
};

enum class claim_outcome {
    granted,         // the claimant may run the request, once
    already_claimed, // somebody claimed the key before; see the record
    key_reused,      // the key stands for another request
    table_full,
    store_unavailable // nothing was granted, and nothing will be
};

struct claim_result {
    claim_outcome outcome = claim_outcome::store_unavailable;
    std::string shard;
    std::uint64_t window = 0;
    std::optional<claim_record> existing_claim;

    friend bool operator==(const claim_result&, const claim_result&) = default;
};

} // namespace tanager
