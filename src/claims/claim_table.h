// The claims of one shard, which one object of the store holds.
#pragma once

#include "base/clock.h"
#include "base/types/result.h"
#include "claims/types/claim.h"

#include <map>
#include <string>

namespace tanager {

// Changes are idempotent: after a write whose response was lost, the object is read again and the change
// applied again, whether or not the write took effect.
class claim_table {
public:
    // Parses an object's value; an empty text is an empty table. Fails with store_unavailable when the text
    // is malformed.
    static result<claim_table> parse(const std::string& text);
    std::string to_text() const;

    // Claims a key for its claimant, unless another claimant holds it or the table is full.
    claim_result claim(const claim_request& request);

    // Records how a claimed request ended. Has no effect unless the claimant holds the claim and its state is
    // `running`. An answer whose body is too large or not UTF-8 is left out.
    void record(const claim_request& request, claim_state state, const std::optional<claim_answer>& answer);

    // Removes the claim of a request that was not run. Has no effect unless the claimant holds the claim and
    // its state is `running`.
    void release(const claim_request& request);

    // Starts a new window when the current one is at least `window_length` old, and removes the claims that
    // are older than the previous window.
    void rotate_if_due(wall_time_point now, std::chrono::hours window_length);

    std::uint64_t window() const;
    std::size_t size() const;

    friend bool operator==(const claim_table&, const claim_table&) = default;

private:
    std::uint64_t current_window = 1;
    std::int64_t window_started_seconds = 0; // Unix time; 0 before the first rotation
    std::size_t approximate_bytes = 0;
    std::map<std::string, claim_record> records;
};

} // namespace tanager
