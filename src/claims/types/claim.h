// A claim allows one claimant to run a non-idempotent request with an idempotency key, and records its
// outcome.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace tanager {

// A recorded answer that is small enough for the store.
struct claim_answer {
    int status = 0;
    std::string content_type;
    std::string body;

    friend bool operator==(const claim_answer&, const claim_answer&) = default;
};

enum class claim_state {
    running,  // claimed; the request may have run
    complete, // the request ran and its answer was complete
    unknown   // the request may have run, and this can no longer be determined
};

// The claim of one key, as stored.
struct claim_record {
    std::string request_digest; // distinguishes a resend from another request with the same key
    std::string claimant;       // unique to the claim
    std::uint64_t window = 0;   // the window in which the key was claimed
    claim_state state = claim_state::running;
    std::optional<claim_answer> answer;

    friend bool operator==(const claim_record&, const claim_record&) = default;
};

// A claimant's request for a key.
struct claim_request {
    std::string key_digest; // digest of member, work entry and key
    std::string request_digest;
    std::string claimant;

    friend bool operator==(const claim_request&, const claim_request&) = default;
};

enum class claim_outcome {
    granted,          // the claimant may run the request once
    already_claimed,  // another claimant holds the key; see `existing_claim`
    key_reused,       // the key was claimed for a different request
    table_full,       // the shard has no space for another claim
    store_unavailable // nothing was granted, and this claimant will not be granted the key later
};

struct claim_result {
    claim_outcome outcome = claim_outcome::store_unavailable;
    std::string shard;
    std::uint64_t window = 0;
    std::optional<claim_record> existing_claim;

    friend bool operator==(const claim_result&, const claim_result&) = default;
};

} // namespace tanager
